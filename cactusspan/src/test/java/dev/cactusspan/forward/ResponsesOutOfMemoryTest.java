package dev.cactusspan.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.RouteKind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A process ended, out of memory, while targets sent long responses for many clients. */
final class ResponsesOutOfMemoryTest extends RequestForwarderFixture {
    private static final int PART_BYTES = 16 << 10;

    private final List<Sink> mSinks = new ArrayList<>();

    private FakeTargets.Sent send(RouteKind kind) {
        Sink sink = new Sink();
        mSinks.add(sink);
        submit("r" + mSinks.size(), kind, sink);
        return mPort.last();
    }

    private static void sendParts(FakeTargets.Sent sent, int bytes) {
        for (int i = 0; i < bytes / PART_BYTES; i++) {
            sent.data(new byte[PART_BYTES]);
        }
    }

    @Test
    void shouldHoldWhatTargetsSendUntilTheResponseIsWritten() {
        targets(1);
        FakeTargets.Sent sent = send(RouteKind.IDEMPOTENT);
        sendParts(sent, 1 << 20);
        assertThat(mResponses.heldBytes(), greaterThanOrEqualTo(1L << 20));
        sent.end();
        assertThat(mSinks.get(0).mStatuses, is(List.of(200)));
        assertThat(mSinks.get(0).mBody.length(), is(1 << 20));
        assertThat(mResponses.heldBytes(), is(0L));
    }

    @Test
    void shouldStayWithinItsMemoryAndDropTheLargest() {
        targets(2);
        FakeTargets.Sent large = send(RouteKind.NON_IDEMPOTENT);
        sendParts(large, 10 << 20);
        FakeTargets.Sent small = send(RouteKind.NON_IDEMPOTENT);
        for (int i = 0; i < 200; i++) {
            sendParts(large, PART_BYTES);
            sendParts(small, PART_BYTES);
            assertThat(mResponses.heldBytes(), lessThanOrEqualTo(mResponses.totalBytes()));
        }
        assertThat(large.isCancelled(), is(true));
        assertThat(small.isCancelled(), is(false));
        small.end();
        assertThat(mSinks.get(1).mStatuses, is(List.of(200)));
    }

    @Test
    void shouldReportADroppedResponseAsPossiblyRun() {
        targets(1);
        FakeTargets.Sent sent = send(RouteKind.NON_IDEMPOTENT);
        sendParts(sent, 16 << 20);
        assertThat(sent.isCancelled(), is(true));
        sent.disconnect();
        assertThat(mSinks.get(0).mFailures.get(0).isNotRun(), is(false));
        assertThat(mResponses.heldBytes(), is(0L));
    }

    @Test
    void shouldReturnTheMemoryOfAFailedResponse() {
        targets(1);
        FakeTargets.Sent sent = send(RouteKind.NON_IDEMPOTENT);
        sendParts(sent, 1 << 20);
        sent.disconnect();
        assertThat(mResponses.heldBytes(), is(0L));
    }

    @Test
    void shouldReturnTheMemoryOfARefusal() {
        targets(1);
        FakeTargets.Sent sent = send(RouteKind.IDEMPOTENT);
        sent.respond(503, "", true);
        assertThat(mResponses.heldBytes(), is(0L));
    }

    @Test
    void shouldReturnTheMemoryWhenTheClientHasGone() {
        targets(1);
        Runnable abandon = submit("gone", RouteKind.IDEMPOTENT, new Sink());
        sendParts(mPort.last(), 1 << 20);
        abandon.run();
        assertThat(mResponses.heldBytes(), is(0L));
    }

    @Test
    void shouldReturnTheMemoryOfRequestsThatAreEndedAtAStop() {
        targets(1);
        sendParts(send(RouteKind.IDEMPOTENT), 1 << 20);
        mForwarder.endAll();
        assertThat(mResponses.heldBytes(), is(0L));
    }
}
