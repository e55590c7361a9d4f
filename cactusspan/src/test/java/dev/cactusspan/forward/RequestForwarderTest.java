package dev.cactusspan.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.intake.Body;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Forwarding to targets that refuse, disconnect, respond to the wrong request or are slow. */
final class RequestForwarderTest extends RequestForwarderFixture {
    /** Accounts were billed for requests that every target had refused. */
    @Test
    void shouldNotCountUsageOfARequestThatNoTargetRan() {
        targets(2);
        Sink sink = new Sink();
        submit("a", RouteKind.IDEMPOTENT, sink);
        for (int i = 0; sink.responseCount() == 0; i++) {
            if (mPort.sent().size() > i) {
                mPort.sent().get(i).failBeforeSend();
            }
            run(TICK_MS * 2);
        }
        assertThat(sink.mFailures.get(0).isNotRun(), is(true));
        assertThat(mUsage, hasSize(0));
    }

    @Test
    void shouldForwardAResponse() {
        targets(1);
        Sink sink = new Sink();
        submit("a", RouteKind.IDEMPOTENT, sink);
        mPort.last().succeed();
        assertThat(sink.mStatuses, is(List.of(200)));
        assertThat(mUsage, hasSize(1));
    }

    @Test
    void shouldRetryAnotherTargetAfterADisconnect() {
        targets(2);
        Sink sink = new Sink();
        submit("a", RouteKind.IDEMPOTENT, sink);
        FakeTargets.Sent first = mPort.last();
        first.disconnect();
        run(50);
        assertThat(mPort.last().target().id(), is(not(first.target().id())));
        mPort.last().succeed();
        assertThat(sink.mStatuses, is(List.of(200)));
        assertThat(mUsage, hasSize(1));
    }

    @Test
    void shouldRejectTheResponseToAnotherRequest() {
        targets(2);
        Sink sink = new Sink();
        submit("a", RouteKind.IDEMPOTENT, sink);
        mPort.last().respondForOtherRequest();
        assertThat(sink.responseCount(), is(0));
        run(50);
        mPort.last().succeed();
        assertThat(sink.mStatuses, is(List.of(200)));
    }

    @Test
    void shouldRejectASuccessWithoutADigest() {
        targets(2);
        Sink sink = new Sink();
        submit("a", RouteKind.IDEMPOTENT, sink);
        mPort.last().respond(200, "", false);
        run(50);
        mPort.last().succeed();
        assertThat(sink.mStatuses, is(List.of(200)));
    }

    /** An attempt beside a stream would end it as complete with its own response. */
    @Test
    void shouldNotHedgeAStream() {
        targets(2);
        Sink sink = new Sink();
        submit("a", RouteKind.IDEMPOTENT, sink);
        mPort.last().startStream(1);
        mPort.last().event(1, "t1");
        run(500);
        assertThat(mPort.sent(), hasSize(1));
        assertThat(sink.mLastCall, is(""));
    }

    @Test
    void shouldCancelTheOtherAttemptOnceAStreamStarts() {
        targets(2);
        Sink sink = new Sink();
        submit("a", RouteKind.IDEMPOTENT, sink);
        FakeTargets.Sent first = mPort.last();
        run(200);
        FakeTargets.Sent second = mPort.last();
        assertThat(second, is(not(first)));
        second.startStream(1);
        assertThat(first.isCancelled(), is(true));
        first.succeed();
        assertThat(sink.mLastCall, is(""));
        second.event(1, "t1");
        second.end();
        assertThat(sink.mLastCall, is("end"));
        assertThat(sink.mBody.toString(), is("1|t1\n"));
    }

    /** Bodies without end of several targets must not take the memory of the others. */
    @Test
    void shouldDropTheLargestBodyOverTheLimit() {
        targets(3);
        Sink endless = new Sink();
        Sink other = new Sink();
        submit("a", RouteKind.NON_IDEMPOTENT, endless);
        FakeTargets.Sent first = mPort.last();
        submit("b", RouteKind.NON_IDEMPOTENT, other);
        FakeTargets.Sent second = mPort.last();
        for (int i = 0; i < 17; i++) {
            first.data(new byte[1 << 20]);
        }
        assertThat(first.isCancelled(), is(true));
        assertThat(second.isCancelled(), is(false));
        second.succeed();
        assertThat(other.mStatuses, is(List.of(200)));
    }

    @Test
    void shouldHedgeASlowTarget() {
        targets(2);
        Sink sink = new Sink();
        submit("a", RouteKind.IDEMPOTENT, sink);
        run(120);
        assertThat(mPort.sent(), hasSize(2));
        mPort.last().succeed();
        assertThat(sink.mStatuses, is(List.of(200)));
        assertThat(mPort.sent().get(0).isCancelled(), is(true));
    }

    @Test
    void shouldNotRetryANonIdempotentRequestThatMayHaveRun() {
        targets(2);
        Sink sink = new Sink();
        submit("a", RouteKind.NON_IDEMPOTENT, sink);
        mPort.last().disconnect();
        run(2_500);
        assertThat(mPort.sent(), hasSize(1));
        assertThat(sink.mFailures, hasSize(1));
        assertThat(sink.mFailures.get(0).isNotRun(), is(false));
    }

    @Test
    void shouldRetryANonIdempotentRequestThatHasNotRun() {
        targets(2);
        Sink sink = new Sink();
        submit("a", RouteKind.NON_IDEMPOTENT, sink);
        mPort.last().respond(503, "", true);
        run(50);
        mPort.last().succeed();
        assertThat(sink.mStatuses, is(List.of(200)));
    }

    @Test
    void shouldFailSoonWithoutATarget() {
        Sink sink = new Sink();
        submit("a", RouteKind.IDEMPOTENT, sink);
        run(80);
        assertThat(sink.mFailures.get(0).isNotRun(), is(true));
    }

    @Test
    void shouldCancelWhenTheClientDisconnects() {
        targets(1);
        Sink sink = new Sink();
        Runnable abandon = submit("a", RouteKind.IDEMPOTENT, sink);
        abandon.run();
        assertThat(mPort.last().isCancelled(), is(true));
        assertThat(sink.responseCount(), is(0));
    }

    @Test
    void shouldFailAtTheTimeoutOfTheRoute() {
        targets(1);
        Sink sink = new Sink();
        submit("a", RouteKind.NON_IDEMPOTENT, sink);
        run(1_050);
        assertThat(sink.mFailures, hasSize(1));
        assertThat(mPort.last().isCancelled(), is(true));
    }

    @Test
    void shouldAbortAStreamWhoseTargetDisconnects() {
        targets(1);
        Sink sink = new Sink();
        submit("a", RouteKind.STREAMING, sink);
        mPort.last().startStream(1);
        mPort.last().event(1, "t1");
        mPort.last().disconnect();
        assertThat(sink.mLastCall, is("abort"));
    }

    @Test
    void shouldEndACompleteStreamNormally() {
        targets(1);
        Sink sink = new Sink();
        submit("a", RouteKind.STREAMING, sink);
        mPort.last().startStream(1);
        mPort.last().event(1, "t1");
        mPort.last().end();
        assertThat(sink.mLastCall, is("end"));
    }

    @Test
    void shouldAvoidATargetThatRespondsWithErrors() {
        targets(2);
        for (int i = 0; i < 40; i++) {
            Sink sink = new Sink();
            submit("r" + i, RouteKind.IDEMPOTENT, sink);
            respondWithErrorIfFaulty(mPort.last());
            run(300);
            if (sink.responseCount() == 0) {
                mPort.last().succeed();
            }
            assertThat(sink.mStatuses, is(List.of(200)));
        }
        long atFaulty = mPort.sent().stream().filter(RequestForwarderTest::isFaulty).count();
        assertThat("an equal share would be 20", atFaulty, lessThanOrEqualTo(8L));
    }

    private static boolean isFaulty(FakeTargets.Sent sent) {
        return sent.target().id().value().equals("t0");
    }

    private static void respondWithErrorIfFaulty(FakeTargets.Sent sent) {
        if (isFaulty(sent)) {
            sent.respond(500, "s", false);
            return;
        }
        sent.succeed();
    }

    @Test
    void shouldAvoidATargetThatHedgesOvertake() {
        targets(2);
        for (int i = 0; i < 40; i++) {
            Sink sink = new Sink();
            submit("r" + i, RouteKind.IDEMPOTENT, sink);
            if (!isFaulty(mPort.last())) {
                mPort.last().succeed();
            }
            run(120);
            if (sink.responseCount() == 0) {
                mPort.last().succeed();
            }
            run(180);
            assertThat(sink.mStatuses, is(List.of(200)));
        }
        long atFaulty = mPort.sent().stream().filter(RequestForwarderTest::isFaulty).count();
        assertThat("an equal share would be 20", atFaulty, lessThanOrEqualTo(8L));
    }

    @Test
    void shouldHintARetryAtTheTimeoutOfARequestThatHasNotRun() {
        Sink sink = new Sink();
        submit("a", RouteKind.NON_IDEMPOTENT, 20, sink);
        run(30);
        assertThat(sink.mFailures.get(0).isNotRun(), is(true));
        assertThat(sink.mRetryAfterMs, greaterThan(0L));
    }

    /**
     * Each request gets one response, runs no more often than allowed, and never runs if reported
     * as not run.
     */
    @Property(seed = "71", tries = 100)
    void shouldRespondOnceWithACorrectStatus(@ForAll long seed) {
        new RequestForwarderTest().checkRandomResponses(new Random(seed));
    }

    private void checkRandomResponses(Random random) {
        targets(3);
        RouteKind kind = random.nextBoolean() ? RouteKind.IDEMPOTENT : RouteKind.NON_IDEMPOTENT;
        Sink sink = new Sink();
        submit("a", kind, sink);
        int handled = 0;
        int runs = 0;
        for (int i = 0; i < 150; i++) {
            run(TICK_MS);
            while (handled < mPort.sent().size()) {
                FakeTargets.Sent sent = mPort.sent().get(handled++);
                if (sent.isCancelled()) {
                    runs++;
                    continue;
                }
                runs += respondRandomly(sent, random) ? 1 : 0;
            }
        }
        assertThat(sink.responseCount(), is(1));
        assertThat(runs, lessThanOrEqualTo(kind == RouteKind.IDEMPOTENT ? MAX_ATTEMPTS : 1));
        if (!sink.mFailures.isEmpty() && sink.mFailures.get(0).isNotRun()) {
            assertThat(runs, is(0));
        }
    }

    /** Responds at random and returns whether the request has run. */
    private static boolean respondRandomly(FakeTargets.Sent sent, Random random) {
        switch (random.nextInt(6)) {
            case 0 -> sent.failBeforeSend();
            case 1 -> sent.respond(503, "", true);
            case 2 -> {
                sent.disconnect();
                return true;
            }
            case 3 -> {
                sent.respond(500, "s", false);
                return true;
            }
            case 4 -> {
                sent.respondForOtherRequest();
                return true;
            }
            default -> {
                sent.succeed();
                return true;
            }
        }
        return false;
    }

    /** A request that lay in the queue past its deadline was sent with a time left of 1 ms. */
    @Test
    void shouldNotSendWhatWaitedPastItsDeadline() {
        targets(2);
        Sink sink = new Sink();
        ClientRequest request =
                new ClientRequest(
                        RequestId.of("r1"),
                        "POST",
                        "/x",
                        "h",
                        Map.of(),
                        Body.of(new byte[0]),
                        Optional.empty(),
                        OptionalLong.of(800),
                        OptionalLong.empty(),
                        Optional.empty(),
                        800);
        mForwarder.submit(
                request, route(RouteKind.IDEMPOTENT), Optional.empty(), Optional.empty(), sink);
        assertThat(mPort.sent().isEmpty(), is(true));
        assertThat(sink.responseCount(), is(1));
        assertThat(sink.mFailures.get(0).isNotRun(), is(true));
    }

    @Test
    void shouldTakeTheTimeInTheQueueFromTheTimeLeft() {
        targets(1);
        ClientRequest request =
                new ClientRequest(
                        RequestId.of("r1"),
                        "POST",
                        "/x",
                        "h",
                        Map.of(),
                        Body.of(new byte[0]),
                        Optional.empty(),
                        OptionalLong.of(800),
                        OptionalLong.empty(),
                        Optional.empty(),
                        300);
        mForwarder.submit(
                request,
                route(RouteKind.IDEMPOTENT),
                Optional.empty(),
                Optional.empty(),
                new Sink());
        assertThat(mPort.last().request().timeLeftMs(), is(500L));
    }
}
