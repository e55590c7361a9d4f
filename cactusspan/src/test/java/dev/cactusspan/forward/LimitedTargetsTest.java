package dev.cactusspan.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.PermitGrant;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.id.TargetId;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests for targets that limit their requests wait for a permit or are refused at once. */
final class LimitedTargetsTest extends RequestForwarderFixture {
    /** Has the only target name a limit, and returns its state. */
    private TargetState limitTarget(double limitPerS) {
        targets(1);
        Sink first = new Sink();
        submit("first", RouteKind.IDEMPOTENT, first);
        mPort.last().withLimit(limitPerS).succeed();
        return mTargets.find(TargetId.of("t0")).orElseThrow();
    }

    @Test
    void shouldSendToALimitedTargetOnceThereIsAPermit() {
        TargetState target = limitTarget(2);
        Sink sink = new Sink();
        submit("a", RouteKind.IDEMPOTENT, sink);
        assertThat(mPort.sent(), hasSize(1));
        assertThat(target.nextPermitRequest(mThread.nowMs()).isPresent(), is(true));
        mThread.advance(300);
        target.onPermits(new PermitGrant(1, 500), mThread.nowMs());
        mForwarder.tick();
        assertThat(mPort.sent(), hasSize(2));
        mPort.last().withLimit(2).succeed();
        assertThat(sink.mStatuses, is(List.of(200)));
    }

    @Test
    void shouldRejectAtOnceIfNoPermitIsExpectedInTime() {
        TargetState target = limitTarget(0.5);
        target.onPermits(new PermitGrant(0, 2_000), mThread.nowMs());
        Sink sink = new Sink();
        submit("a", RouteKind.IDEMPOTENT, sink);
        assertThat(mPort.sent(), hasSize(1));
        assertThat(sink.mFailures.get(0).isNotRun(), is(true));
        assertThat(sink.mRetryAfterMs, is(2_000L));
    }

    @Test
    void shouldUseOtherTargetsWithoutAPermit() {
        limitTarget(2);
        mTargets.put(FakeTargets.record("t1", "app", 4, 0));
        Sink sink = new Sink();
        submit("a", RouteKind.IDEMPOTENT, sink);
        assertThat(mPort.last().target().id(), is(TargetId.of("t1")));
    }
}
