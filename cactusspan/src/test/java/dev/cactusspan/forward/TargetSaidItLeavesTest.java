package dev.cactusspan.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.id.TargetId;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests reached a target for seconds after it had said in a response that it leaves. */
final class TargetSaidItLeavesTest extends RequestForwarderFixture {
    /**
     * Has one of two targets say that it leaves; returns its entry in the store, which does not.
     */
    private TargetRecord signalOne() {
        targets(2);
        submit("first", RouteKind.IDEMPOTENT, new Sink());
        mPort.last().leaving().succeed();
        return mPort.last().target();
    }

    private List<TargetId> targetsOf(int requests) {
        int before = mPort.sent().size();
        for (int i = 0; i < requests; i++) {
            submit("r" + i, RouteKind.IDEMPOTENT, new Sink());
            mPort.last().succeed();
        }
        return mPort.sent().stream().skip(before).map(s -> s.target().id()).distinct().toList();
    }

    @Test
    void shouldSendNothingMoreToATargetThatSaidItLeaves() {
        TargetRecord leaving = signalOne();
        assertThat(targetsOf(20), everyItem(is(not(leaving.id()))));
    }

    @Test
    void shouldBelieveTheTargetAfterItsEntryIsWrittenAgain() {
        TargetRecord leaving = signalOne();
        mTargets.put(leaving);
        assertThat(targetsOf(20), everyItem(is(not(leaving.id()))));
        mTargets.remove(leaving.id(), mThread.nowMs(), true);
        mTargets.put(leaving);
        assertThat(targetsOf(20), everyItem(is(not(leaving.id()))));
    }

    @Test
    void shouldBelieveATargetWhoseEntryWasGoneWhenItSaidSo() {
        targets(2);
        submit("first", RouteKind.IDEMPOTENT, new Sink());
        TargetRecord leaving = mPort.last().target();
        mTargets.remove(leaving.id(), mThread.nowMs(), true);
        mPort.last().leaving().succeed();
        mTargets.put(leaving);
        assertThat(targetsOf(20), everyItem(is(not(leaving.id()))));
    }

    @Test
    void shouldUseTheTargetAgainAfterItStartedAgain() {
        TargetRecord leaving = signalOne();
        mTargets.put(FakeTargets.restarted(leaving));
        assertThat(targetsOf(40), hasSize(2));
    }

    @Test
    void shouldNotRetryAtATargetThatSaidItLeaves() {
        targets(2);
        Sink sink = new Sink();
        submit("a", RouteKind.IDEMPOTENT, sink);
        TargetId leaving = mPort.last().target().id();
        mPort.last().leaving().respond(503, "", true);
        for (int i = 0; i < 5; i++) {
            run(2 * TICK_MS);
            assertThat(mPort.last().target().id(), is(not(leaving)));
            mPort.last().respond(503, "", true);
        }
    }

    @Test
    void shouldRejectAtOnceWhenAllTargetsSaidTheyLeave() {
        targets(1);
        submit("first", RouteKind.IDEMPOTENT, new Sink());
        mPort.last().leaving().succeed();
        Sink sink = new Sink();
        submit("a", RouteKind.IDEMPOTENT, sink);
        run(100);
        assertThat(mPort.sent(), hasSize(1));
        assertThat(sink.mFailures.get(0).isNotRun(), is(true));
    }

    @Test
    void shouldNotBelieveTheAnswerOfAnotherRequest() {
        targets(1);
        submit("first", RouteKind.IDEMPOTENT, new Sink());
        mPort.last().leaving().respondForOtherRequest();
        assertThat(mTargets.find(TargetId.of("t0")).orElseThrow().isLeaving(), is(false));
    }
}
