package dev.cactusspan.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.ResponseHead;
import dev.cactusspan.fleet.TargetListener;
import dev.cactusspan.fleet.TargetLoad;
import dev.cactusspan.fleet.TargetPort.OrderOutcome;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.fleet.TargetRequest;
import dev.cactusspan.http.HttpClient;
import dev.cactusspan.http.KeepAliveServer;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import dev.cactusspan.result.SendFailure;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against late copies of other answers that are taken for the answer to an order, a load
 * query or a request. Orders and load queries bear no id.
 */
final class LateAnswerToCallTest {
    private static final long TIMEOUT_MS = 20_000;
    private static final String LOAD =
            "{\"running\":1,\"waiting\":2,\"sequence\":3,\"busy\":false}";
    private static final String NO_HEADER = "Date: now";

    private final HttpClient mHttp;
    private final PlatformTargets mTargets;

    LateAnswerToCallTest() throws IOException {
        mHttp = HttpClient.create();
        mTargets = new PlatformTargets(mHttp, Runnable::run);
    }

    @AfterEach
    void close() {
        mHttp.close();
    }

    /** Answers, on each connection that has carried a call, a copy of that answer first. */
    private static String respond(String head, String before) {
        String own =
                head.startsWith("GET /-/report")
                        ? KeepAliveServer.response(200, NO_HEADER, LOAD)
                        : head.startsWith("POST /-/order")
                                ? KeepAliveServer.response(409, NO_HEADER, "")
                                : KeepAliveServer.response(200, "Attempt-Id: r", "");
        return before + own;
    }

    private static TargetRecord target(KeepAliveServer server) {
        TargetRecord record = FakeTargets.record("t", "lm", 1, 1);
        return new TargetRecord(
                record.id(),
                record.service(),
                record.software(),
                server.uri(),
                record.zone(),
                record.slots(),
                record.isLeaving(),
                record.orders(),
                record.startedMs(),
                record.versions());
    }

    private Result<OrderOutcome> order(KeepAliveServer server) throws Exception {
        return mTargets.orderVersion(
                        target(server),
                        ModelId.of("m"),
                        WeightVersion.of(2),
                        VmId.of("vm"),
                        FencingNumber.of(1),
                        0)
                .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private Result<TargetLoad> load(KeepAliveServer server) throws Exception {
        return mTargets.load(target(server)).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private ResponseHead request(KeepAliveServer server) throws Exception {
        TargetRequest request =
                new TargetRequest(
                        "r",
                        "POST",
                        "/",
                        "h",
                        Map.of(),
                        new byte[0],
                        Optional.empty(),
                        TIMEOUT_MS,
                        OptionalLong.empty(),
                        OptionalInt.empty());
        CompletableFuture<ResponseHead> head = new CompletableFuture<>();
        CompletableFuture<Boolean> end = new CompletableFuture<>();
        mTargets.send(
                target(server),
                request,
                new TargetListener() {
                    @Override
                    public void onHead(ResponseHead h) {
                        head.complete(h);
                    }

                    @Override
                    public void onData(byte[] data, Runnable consumed) {
                        consumed.run();
                    }

                    @Override
                    public void onEnd() {
                        end.complete(true);
                    }

                    @Override
                    public void onFailure(SendFailure failure, String reason) {
                        end.complete(false);
                    }
                });
        end.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        return head.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private static Optional<ErrorKind> kind(Result<?> result) {
        return result.fold(Optional::of, v -> Optional.<Failure>empty()).map(Failure::kind);
    }

    /** An order that a target had refused passed for one that holds. */
    @Test
    void shouldNotTakeTheCopyOfAnAnswerToARequestForTheAnswerToAnOrder() throws Exception {
        String copy = KeepAliveServer.response(200, "Attempt-Id: r", "");
        try (KeepAliveServer server =
                new KeepAliveServer((head, number) -> respond(head, number > 0 ? copy : ""))) {
            assertThat(request(server).isForThisRequest(), is(true));
            assertThat(kind(order(server)), is(Optional.of(ErrorKind.OUTCOME_UNKNOWN)));
            assertThat(order(server), is(Result.of(OrderOutcome.BUSY)));
        }
    }

    /** Neither answer bears an id, so that the two cannot be told apart. */
    @Test
    void shouldNotTakeTheCopyOfALoadForTheAnswerToAnOrder() throws Exception {
        String copy = KeepAliveServer.response(200, NO_HEADER, LOAD);
        try (KeepAliveServer server =
                new KeepAliveServer((head, number) -> respond(head, number > 0 ? copy : ""))) {
            assertThat(load(server).isOk(), is(true));
            assertThat(order(server), is(Result.of(OrderOutcome.BUSY)));
            assertThat(order(server), is(Result.of(OrderOutcome.BUSY)));
        }
    }

    /** The load would be that of a target without any work. */
    @Test
    void shouldNotTakeTheCopyOfAnAnswerToARequestForALoad() throws Exception {
        String copy = KeepAliveServer.response(200, "Attempt-Id: r", "{}");
        try (KeepAliveServer server =
                new KeepAliveServer((head, number) -> respond(head, number > 0 ? copy : ""))) {
            assertThat(request(server).isForThisRequest(), is(true));
            assertThat(kind(load(server)), is(Optional.of(ErrorKind.TARGET_FAILED)));
            assertThat(load(server).isOk(), is(true));
        }
    }

    /** The refusal of an order would prove that the request has not run. */
    @Test
    void shouldNotTakeTheCopyOfAnAnswerToAnOrderForTheAnswerToARequest() throws Exception {
        String copy = KeepAliveServer.response(421, NO_HEADER, "");
        try (KeepAliveServer server =
                new KeepAliveServer((head, number) -> respond(head, number > 0 ? copy : ""))) {
            assertThat(order(server), is(Result.of(OrderOutcome.BUSY)));
            ResponseHead head = request(server);
            assertThat(head.isForThisRequest(), is(not(true)));
        }
    }
}
