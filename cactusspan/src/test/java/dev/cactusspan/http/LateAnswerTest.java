package dev.cactusspan.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.result.Result;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests answers that come a second time, where the answer to the next send is expected. */
final class LateAnswerTest {
    private static final long TIMEOUT_MS = 20_000;
    private static final int MAX_BYTES = 1_000;
    private static final String ID = "Attempt-Id";

    private final HttpClient mHttp;

    LateAnswerTest() throws IOException {
        mHttp = HttpClient.create();
    }

    @AfterEach
    void close() {
        mHttp.close();
    }

    private int send(KeepAliveServer server, String id) throws Exception {
        return exchange(server, id).status();
    }

    private HttpResponse exchange(KeepAliveServer server, String id) throws Exception {
        HttpRequest request =
                new HttpRequest(
                                "GET",
                                server.uri(),
                                "/",
                                Map.of(ID, id),
                                new byte[0],
                                TIMEOUT_MS,
                                MAX_BYTES,
                                false)
                        .withTag(new ResponseTag(ID, id));
        Result<HttpResponse> response =
                mHttp.collect(request, MAX_BYTES).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        return response.get();
    }

    private static String refusal(String id) {
        return KeepAliveServer.response(503, ID + ": " + id, "full");
    }

    /**
     * Guards against a request that runs twice, or is refused though it ran: the copy of a refusal
     * bears the id of the second send as well.
     */
    @Test
    void shouldNotTakeTheCopyOfARefusalForTheAnswerToTheNextSend() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        AtomicInteger sends = new AtomicInteger();
        try (KeepAliveServer server =
                new KeepAliveServer(
                        (head, number) -> {
                            if (sends.getAndIncrement() == 0) {
                                return refusal("x");
                            }
                            runs.incrementAndGet();
                            String late = number > 0 ? refusal("x") : "";
                            return late + KeepAliveServer.response(200, ID + ": x", "ok");
                        })) {
            assertThat(send(server, "x"), is(503));
            assertThat(send(server, "x"), is(200));
            assertThat(runs.get(), is(1));
        }
    }

    /**
     * Guards against a connection that is one answer behind. The server still works on a request
     * when the copy of the answer before passes for its own: on this connection, each further
     * request would get the answer to the one before it.
     */
    @Test
    void shouldNotUseAConnectionAgainAfterTheAnswerToAnotherRequest() throws Exception {
        try (KeepAliveServer server =
                new KeepAliveServer(
                        (head, number) ->
                                KeepAliveServer.response(
                                        200, number == 0 ? idLine(head) : ID + ": late", "ok"))) {
            assertThat(exchange(server, "a").header("attempt-id"), is(Optional.of("a")));
            assertThat(exchange(server, "b").header("attempt-id"), is(Optional.of("late")));
            assertThat(exchange(server, "c").header("attempt-id"), is(Optional.of("c")));
            assertThat(server.connections(), is(2));
        }
    }

    private static String idLine(String head) {
        return head.lines().filter(line -> line.startsWith(ID)).findFirst().orElseThrow();
    }

    /**
     * Connections are paid for: other requests use them again, and so do further sends of a request
     * that other connections have carried.
     */
    @Test
    void shouldOpenNoMoreConnectionsThanSendsOfOneRequest() throws Exception {
        try (KeepAliveServer server =
                new KeepAliveServer(
                        (head, number) -> KeepAliveServer.response(503, idLine(head), "full"))) {
            for (int request = 0; request < 50; request++) {
                for (int sends = 0; sends < 3; sends++) {
                    assertThat(send(server, "r" + request), is(503));
                }
            }
            assertThat(server.connections(), is(3));
        }
    }
}
