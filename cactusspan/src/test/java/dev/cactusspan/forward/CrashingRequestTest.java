package dev.cactusspan.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.result.ErrorKind;
import org.junit.jupiter.api.Test;

/** Requests that crash the targets that run them are sent to few targets. */
final class CrashingRequestTest extends RequestForwarderFixture {
    private int mDisconnected;

    @Test
    void shouldNotSendARequestThatCrashedThreeTargetsToAnother() {
        targets(8);
        for (int i = 0; i < 3; i++) {
            submit("poison" + i, RouteKind.IDEMPOTENT, new Sink());
            while (mPort.sent().size() > mDisconnected) {
                mPort.sent().get(mDisconnected++).disconnect();
                mThread.advance(TICK_MS * 2);
                mForwarder.tick();
            }
            mThread.advance(CrashGuard.COOL_DOWN_MS);
        }
        assertThat(mPort.sent(), hasSize(3));
        Sink sink = new Sink();
        submit("again", RouteKind.IDEMPOTENT, sink);
        assertThat(mPort.sent(), hasSize(3));
        assertThat(sink.mFailures.get(0).kind(), is(ErrorKind.REQUEST_QUARANTINED));
        assertThat(sink.mFailures.get(0).isNotRun(), is(true));
    }

    @Test
    void shouldNotCallARequestNotRunThatCrashedItsLastTargets() {
        targets(8);
        Sink sink = new Sink();
        submit("poison", RouteKind.IDEMPOTENT, sink);
        for (int i = 0; i < 2; i++) {
            mPort.sent().get(i).disconnect();
            mThread.advance(TICK_MS * 2);
            mForwarder.tick();
        }
        assertThat(mPort.sent(), hasSize(2));
        assertThat(sink.mFailures.get(0).isNotRun(), is(false));
    }

    @Test
    void shouldNotSuspectARequestAtATargetThatFailedBefore() {
        targets(1);
        for (int i = 0; i < 5; i++) {
            submit("poll" + i, RouteKind.NON_IDEMPOTENT, new Sink());
            mPort.last().disconnect();
            mThread.advance(500);
        }
        assertThat(mPort.sent(), hasSize(5));
    }

    @Test
    void shouldNotHedgeARequestThatMayHaveCrashedATarget() {
        targets(8);
        submit("poison", RouteKind.IDEMPOTENT, new Sink());
        mPort.last().disconnect();
        mThread.advance(TICK_MS * 2);
        mForwarder.tick();
        assertThat(mPort.sent(), hasSize(2));
        mThread.advance(190);
        mForwarder.tick();
        assertThat(mPort.sent(), hasSize(2));
    }
}
