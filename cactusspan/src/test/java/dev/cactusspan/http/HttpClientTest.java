package dev.cactusspan.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.cactusspan.intake.Body;
import dev.cactusspan.result.Result;
import dev.cactusspan.result.SendFailure;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests responses that never end, arrive too fast or are not HTTP. */
final class HttpClientTest {
    private static final long LONG_TIMEOUT_MS = 60_000;
    private static final int MAX_BODY_BYTES = 256 << 10;

    /** What a server may have written when its connection is closed: limits and socket buffers. */
    private static final long MAX_WRITTEN_BYTES = 16 << 20;

    private static final String GOOD_RESPONSE =
            String.join("\r\n", "HTTP/1.1 200 OK", "Content-Length: 2", "", "ok");

    private static final String UNFRAMED_HEAD =
            String.join("\r\n", "HTTP/1.1 200 OK", "Server-Stamp: s", "", "");

    private static final String CHUNKED_HEAD =
            String.join("\r\n", "HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "", "");

    private static final String CHUNKED_RESPONSE =
            CHUNKED_HEAD + String.join("\r\n", "4", "body", "0", "", "");

    private final HttpClient mHttp;

    HttpClientTest() throws IOException {
        mHttp = HttpClient.create();
    }

    @AfterEach
    void close() {
        mHttp.close();
    }

    private Result<HttpResponse> get(RawServer server, long timeoutMs) throws Exception {
        // The server closes each connection, so none is used again.
        HttpRequest request =
                new HttpRequest(
                        "GET",
                        server.uri(),
                        "/",
                        Map.of(),
                        new byte[0],
                        timeoutMs,
                        MAX_BODY_BYTES,
                        true);
        return mHttp.collect(request, MAX_BODY_BYTES).get(LONG_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "status line|HTTP/1.1 200 |O",
                "no protocol|x|x",
                "header name|HTTP/1.1 200 OK\\r\\n|n",
                "header value|HTTP/1.1 200 OK\\r\\nName: |v",
                "headers|HTTP/1.1 200 OK\\r\\n|Name: value\\r\\n",
                "interim responses|HTTP/1.1 |100 Continue\\r\\n\\r\\nHTTP/1.1 ",
                "chunk size|CHUNKED|0",
                "chunk extension|CHUNKED1;x=|y",
                "trailers|CHUNKED0\\r\\n|Name: v\\r\\n",
                "chunks|CHUNKED|1\\r\\nx\\r\\n",
                "body|HTTP/1.1 200 OK\\r\\n\\r\\n|body",
                "long body|HTTP/1.1 200 OK\\r\\nContent-Length: 999999999\\r\\n\\r\\n|body"
            })
    void shouldCloseConnectionOnEndless(String name, String prefix, String part) throws Exception {
        try (RawServer server =
                new RawServer(RawServer.endless(unescape(prefix), unescape(part)))) {
            Result<HttpResponse> response = get(server, LONG_TIMEOUT_MS);
            assertThat(name, response.isOk(), is(false));
            assertThat(name, server.awaitClosedByPeer(LONG_TIMEOUT_MS), is(true));
            assertThat(name, server.writtenBytes(), lessThan(MAX_WRITTEN_BYTES));
        }
    }

    /** A request whose connection is lost is suspected to have crashed its target. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "status line|HTTP/1.1 200 |O",
                "header name|HTTP/1.1 200 OK\\r\\n|n",
                "header value|HTTP/1.1 200 OK\\r\\nName: |v",
                "headers|HTTP/1.1 200 OK\\r\\n|Name: value\\r\\n",
                "interim responses||HTTP/1.1 100 Continue\\r\\n\\r\\n",
                "chunk size|CHUNKED|0",
                "chunk extension|CHUNKED1;x=|y",
                "trailers|CHUNKED0\\r\\n|Name: v\\r\\n",
                "chunks|CHUNKED|1\\r\\nx\\r\\n",
                "body|HTTP/1.1 200 OK\\r\\n\\r\\n|body"
            })
    void shouldNotTakeAnEndlessResponseForALostConnection(String name, String prefix, String part)
            throws Exception {
        String start = prefix == null ? "" : unescape(prefix);
        try (RawServer server = new RawServer(RawServer.endless(start, unescape(part)));
                ResponseProbe probe = new ResponseProbe()) {
            String outcome = probe.send("GET", server.uri());
            assertThat(name, outcome, is(SendFailure.UNUSABLE_RESPONSE.name()));
        }
    }

    private static String unescape(String text) {
        return text.replace("CHUNKED", CHUNKED_HEAD).replace("\\r\\n", "\r\n");
    }

    /** A target that stopped in the middle of its response left a success that looked whole. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "status line|HTTP/1.1 200 OK",
                "status line with its end|HTTP/1.1 200 OK\\r\\n",
                "header name|HTTP/1.1 200 OK\\r\\nContent-Len",
                "length|HTTP/1.1 200 OK\\r\\nContent-Length: 2",
                "headers|HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n",
                "body|HTTP/1.1 200 OK\\r\\nContent-Length: 5\\r\\n\\r\\nok",
                "first chunk|CHUNKED4\\r\\nbo",
                "last chunk|CHUNKED4\\r\\nbody\\r\\n",
                "events|HTTP/1.1 200 OK\\r\\nContent-Type: text/event-stream\\r\\n\\r\\nid: 1\\n",
                "events and charset|HTTP/1.1 200 OK\\r\\nContent-Type: Text/Event-Stream; charset=x"
                        + "\\r\\n\\r\\nid: 1\\n\\n",
                "shorter length|HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\nContent-Length: 5\\r\\n"
                        + "\\r\\nok",
                "longer length|HTTP/1.1 200 OK\\r\\nContent-Length: 5\\r\\nContent-Length: 2\\r\\n"
                        + "\\r\\nok",
                "negative length|HTTP/1.1 200 OK\\r\\nContent-Length: -1\\r\\n\\r\\nok",
                "length in words|HTTP/1.1 200 OK\\r\\nContent-Length: two\\r\\n\\r\\nok"
            })
    void shouldNotTakeACutResponseForAWholeOne(String cutIn, String bytes) throws Exception {
        byte[] response = unescape(bytes).getBytes(StandardCharsets.US_ASCII);
        try (RawServer server = new RawServer(out -> out.write(response))) {
            assertThat(cutIn, get(server, LONG_TIMEOUT_MS).isOk(), is(false));
        }
    }

    /** A request that its thread could not send for a second was sent with the old time left. */
    @Test
    void shouldNotSendWhatWasHeldUp() throws Exception {
        try (RawServer server = new RawServer(out -> out.write(new byte[0]))) {
            HttpRequest request =
                    new HttpRequest(
                            "GET",
                            server.uri(),
                            "/",
                            Map.of(),
                            Body.of(new byte[0]),
                            LONG_TIMEOUT_MS,
                            MAX_BODY_BYTES,
                            true,
                            ResponseTag.NONE,
                            100);
            // Holds the I/O thread up, as other work does in a process without processor time.
            mHttp.newProbe(Runnable::run, () -> 0, atMs -> pause(500)).tick();
            CompletableFuture<SendFailure> failure = new CompletableFuture<>();
            pause(50);
            mHttp.send(
                    request,
                    new ResponseListener() {
                        @Override
                        public void onHead(int status, Map<String, String> headers) {}

                        @Override
                        public void onData(byte[] data, Runnable consumed) {}

                        @Override
                        public void onEnd() {}

                        @Override
                        public void onFailure(SendFailure kind, String reason) {
                            failure.complete(kind);
                        }
                    });
            assertThat(
                    failure.get(LONG_TIMEOUT_MS, TimeUnit.MILLISECONDS), is(SendFailure.NOT_SENT));
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A body without a length is whole when its connection ends in order. */
    @ParameterizedTest
    @ValueSource(strings = {"", "ok", "a longer body\r\n"})
    void shouldTakeABodyThatEndsWithItsConnection(String body) throws Exception {
        byte[] response = unescape(UNFRAMED_HEAD + body).getBytes(StandardCharsets.US_ASCII);
        try (RawServer server = new RawServer(out -> out.write(response))) {
            Result<HttpResponse> received = get(server, LONG_TIMEOUT_MS);
            assertThat(received.isOk(), is(true));
            assertThat(new String(received.get().body(), StandardCharsets.US_ASCII), is(body));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "ok", "a longer body\r\n"})
    void shouldNotTakeABodyWhoseConnectionIsReset(String body) throws Exception {
        byte[] response = unescape(UNFRAMED_HEAD + body).getBytes(StandardCharsets.US_ASCII);
        try (RawServer server = RawServer.resetting(out -> out.write(response))) {
            assertThat(get(server, LONG_TIMEOUT_MS).isOk(), is(false));
        }
    }

    @Test
    void shouldEndDripFedHeadAtTheTimeout() throws Exception {
        try (RawServer server =
                new RawServer(
                        out -> {
                            while (true) {
                                out.write('H');
                                Thread.sleep(20);
                            }
                        })) {
            assertThat(get(server, 300).isOk(), is(false));
            assertThat(server.awaitClosedByPeer(LONG_TIMEOUT_MS), is(true));
        }
    }

    @Test
    void shouldServeOthersBesideAnEndlessResponse() throws Exception {
        byte[] good = GOOD_RESPONSE.getBytes(StandardCharsets.US_ASCII);
        try (RawServer endless =
                        new RawServer(RawServer.endless("HTTP/1.1 200 OK\r\n\r\n", "body"));
                RawServer other = new RawServer(out -> out.write(good))) {
            HttpRequest request =
                    HttpRequest.get(endless.uri(), "/", LONG_TIMEOUT_MS)
                            .withMaxBytes(Long.MAX_VALUE);
            Runnable cancel = mHttp.send(request, new ConsumingListener());
            for (int i = 0; i < 10; i++) {
                assertThat(get(other, LONG_TIMEOUT_MS).isOk(), is(true));
            }
            cancel.run();
            assertThat(endless.awaitClosedByPeer(LONG_TIMEOUT_MS), is(true));
        }
    }

    /** A listener that holds all bytes makes the server wait. */
    @Test
    void shouldStopReadingWhileBytesAreHeld() throws Exception {
        try (RawServer server =
                new RawServer(RawServer.endless("HTTP/1.1 200 OK\r\n\r\n", "body"))) {
            HoldingListener listener = new HoldingListener();
            HttpRequest request =
                    HttpRequest.get(server.uri(), "/", LONG_TIMEOUT_MS)
                            .withMaxBytes(Long.MAX_VALUE);
            Runnable cancel = mHttp.send(request, listener);
            listener.mIsWindowFull.get(LONG_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            long heldBytes = listener.mHeldBytes.get();
            Thread.sleep(50);
            assertThat(listener.mHeldBytes.get(), is(heldBytes));
            listener.release();
            listener.mIsMoreReceived.get(LONG_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            cancel.run();
        }
    }

    /** Each response is within its limit, but all of them are not within the heap. */
    @Test
    void shouldBoundTheMemoryOfAllCollectedResponses() throws Exception {
        int maxBytes = 24 << 20;
        byte[] part = new byte[20 << 20];
        CountDownLatch isOver = new CountDownLatch(1);
        try (RawServer server =
                new RawServer(
                        out -> {
                            out.write(unescape(UNFRAMED_HEAD).getBytes(StandardCharsets.US_ASCII));
                            out.write(part);
                            isOver.await();
                        })) {
            List<CompletableFuture<Result<HttpResponse>>> responses = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                HttpRequest request = HttpRequest.get(server.uri(), "/", LONG_TIMEOUT_MS);
                responses.add(mHttp.collect(request, maxBytes));
            }
            while (responses.size() > 1) {
                CompletableFuture.anyOf(responses.toArray(CompletableFuture[]::new))
                        .get(LONG_TIMEOUT_MS / 2, TimeUnit.MILLISECONDS);
                responses.removeIf(CompletableFuture::isDone);
            }
        } finally {
            isOver.countDown();
        }
    }

    /** Whatever bytes arrive, a response or a failure is reported once. */
    @Property(seed = "4711", tries = 60)
    void shouldReportOneOutcomeForAnyBytes(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        byte[] bytes = mutate(random);
        try (HttpClient http = HttpClient.create();
                RawServer server = new RawServer(out -> out.write(bytes))) {
            Result<HttpResponse> response =
                    http.collect(HttpRequest.get(server.uri(), "/", 2_000), MAX_BODY_BYTES)
                            .get(LONG_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            int bodyBytes = response.fold(f -> 0, r -> r.body().length);
            assertThat(bodyBytes <= bytes.length, is(true));
        }
    }

    /** Cuts, doubles or overwrites parts of a valid response. */
    private static byte[] mutate(Random random) {
        StringBuilder text =
                new StringBuilder(random.nextBoolean() ? GOOD_RESPONSE : CHUNKED_RESPONSE);
        for (int i = random.nextInt(4); i >= 0; i--) {
            int at = random.nextInt(text.length());
            switch (random.nextInt(3)) {
                case 0 -> text.setLength(Math.max(1, at));
                case 1 -> text.insert(at, text.substring(at));
                default -> text.setCharAt(at, (char) random.nextInt(256));
            }
        }
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Consumes all bytes at once. */
    private static class ConsumingListener implements ResponseListener {
        @Override
        public void onHead(int status, Map<String, String> headers) {}

        @Override
        public void onData(byte[] data, Runnable consumed) {
            consumed.run();
        }

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(SendFailure failure, String reason) {}
    }

    /** Holds all bytes until they are released. */
    private static final class HoldingListener extends ConsumingListener {
        private final List<Runnable> mHeld = new ArrayList<>();
        private final CompletableFuture<Boolean> mIsWindowFull = new CompletableFuture<>();
        private final CompletableFuture<Boolean> mIsMoreReceived = new CompletableFuture<>();
        private final AtomicLong mHeldBytes = new AtomicLong();
        private volatile boolean mIsReleased;

        @Override
        public void onData(byte[] data, Runnable consumed) {
            if (mIsReleased) {
                mIsMoreReceived.complete(true);
                return;
            }
            synchronized (mHeld) {
                mHeld.add(consumed);
            }
            if (mHeldBytes.addAndGet(data.length) >= ReadWindow.MAX_UNCONSUMED_BYTES) {
                mIsWindowFull.complete(true);
            }
        }

        void release() {
            mIsReleased = true;
            synchronized (mHeld) {
                mHeld.forEach(Runnable::run);
            }
        }
    }
}
