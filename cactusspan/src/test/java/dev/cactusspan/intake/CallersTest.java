package dev.cactusspan.intake;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class CallersTest {
    private static final CallerLimits LIMITS =
            new CallerLimits(10, 16 << 10, 32 << 20, 3_000, 15_000);

    private final MemoryBudget mBudget = new MemoryBudget(8 << 20);
    private final List<Refusal> mRefusals = new ArrayList<>();
    private final Callers mCallers =
            new Callers(mBudget, () -> LIMITS, (refusal, nowMs) -> mRefusals.add(refusal));
    private final List<String> mEvicted = new ArrayList<>();

    private Caller open(String name, long nowMs) {
        return mCallers.open(nowMs, () -> mEvicted.add(name)).orElseThrow();
    }

    @Test
    void shouldCloseHeadersThatAreNotCompleteInTime() {
        Caller caller = open("half", 0);
        mCallers.onRead(caller, 10, 1_000);
        for (long nowMs = 1_500; nowMs <= 4_000; nowMs += 500) {
            mCallers.onRead(caller, 1, nowMs);
            mCallers.tick(nowMs);
        }
        assertThat(mEvicted, is(empty()));
        mCallers.tick(4_001);
        assertThat(mEvicted, is(List.of("half")));
        assertThat(mRefusals, is(List.of(Refusal.PACE)));
        assertThat(mBudget.heldBytes(), is(0L));
    }

    @Test
    void shouldCloseConnectionsThatAreIdleForTooLongWithoutARefusal() {
        open("idle", 0);
        mCallers.tick(15_000);
        assertThat(mEvicted, is(empty()));
        mCallers.tick(15_001);
        assertThat(mEvicted, is(List.of("idle")));
        assertThat(mRefusals, is(empty()));
    }

    @Test
    void shouldCloseBodiesThatTrickle() {
        Caller caller = open("trickle", 0);
        mCallers.onRead(caller, 100, 0);
        mCallers.onHead(caller, 100, 10_000, 0);
        for (long nowMs = 100; nowMs < 4_000; nowMs += 100) {
            mCallers.onRead(caller, 100, nowMs);
            mCallers.tick(nowMs);
        }
        assertThat(mEvicted, is(empty()));
        mCallers.tick(4_000);
        assertThat(mEvicted, is(List.of("trickle")));
        assertThat(mBudget.heldBytes(), is(0L));
    }

    @Test
    void shouldNotCloseABodyThatArrivesSteadily() {
        Caller caller = open("steady", 0);
        mCallers.onHead(caller, 100, 1 << 20, 0);
        for (long nowMs = 100; nowMs < 60_000; nowMs += 100) {
            mCallers.onRead(caller, 400, nowMs);
            mCallers.tick(nowMs);
        }
        assertThat(mEvicted, is(empty()));
    }

    @Test
    void shouldCloseCallersThatDoNotTakeTheirResponse() {
        Caller caller = open("deaf", 0);
        mCallers.onHead(caller, 100, 0, 0);
        mCallers.onBody(caller, 0);
        mCallers.onWrite(caller, 70_000, true, 20_000);
        mCallers.onWrite(caller, 0, true, 20_000);
        mCallers.tick(23_900);
        assertThat(mEvicted, is(empty()));
        mCallers.tick(24_000);
        assertThat(mEvicted, is(List.of("deaf")));
    }

    @Test
    void shouldNotCloseARequestThatRuns() {
        Caller caller = open("running", 0);
        mCallers.onHead(caller, 100, 0, 0);
        mCallers.onBody(caller, 0);
        mCallers.tick(100_000);
        assertThat(mEvicted, is(empty()));
    }

    @Test
    void shouldCloseTheSlowestForANewConnection() {
        for (int i = 0; i < 8; i++) {
            open("idle-" + i, i);
        }
        Caller stopped = open("stopped", 10);
        mCallers.onRead(stopped, 10, 10);
        Caller running = open("running", 10);
        mCallers.onHead(running, 100, 0, 10);
        mCallers.onBody(running, 10);
        open("new-1", 1_000);
        assertThat(mEvicted, is(List.of("stopped")));
        open("new-2", 1_001);
        assertThat(mEvicted, is(List.of("stopped", "idle-0")));
        assertThat(mCallers.size(), is(10));
    }

    @Test
    void shouldPreferConnectionsThatWereNeverServed() {
        Caller served = open("served", 0);
        mCallers.onHead(served, 100, 0, 0);
        mCallers.onEnd(served, 1);
        for (int i = 0; i < 9; i++) {
            open("silent-" + i, 500 + i);
        }
        open("new", 1_000);
        assertThat(mEvicted, is(List.of("silent-0")));
    }

    @Test
    void shouldRefuseANewConnectionWhileAllOthersAreServed() {
        for (int i = 0; i < 10; i++) {
            Caller caller = open("running", 0);
            mCallers.onHead(caller, 100, 0, 0);
            mCallers.onBody(caller, 0);
        }
        assertThat(mCallers.open(60_000, () -> {}), is(Optional.empty()));
        assertThat(mRefusals, is(List.of(Refusal.CONNECTIONS)));
    }

    @Test
    void shouldCloseTheSlowestBodyForAnother() {
        Caller stopped = open("stopped", 0);
        mCallers.onHead(stopped, 100, 5 << 20, 0);
        Caller next = open("next", 100);
        assertThat(mCallers.onHead(next, 100, 5 << 20, 200).isPresent(), is(false));
        Caller last = open("last", 300);
        assertThat(mCallers.onHead(last, 100, 5 << 20, 300).isPresent(), is(true));
        assertThat(mEvicted, is(List.of("stopped")));
    }

    @Test
    void shouldServeSmallRequestsBesideACrowdOfStoppedOnes() {
        long nowMs = 0;
        for (int i = 0; i < 1_000; i++) {
            nowMs += 10;
            Caller stopped = open("stopped", nowMs);
            mCallers.onHead(stopped, 100, i % 2 == 0 ? 60_000 : 6 << 20, nowMs);
            Caller ordinary = open("ordinary", nowMs + 260);
            nowMs += 260;
            assertThat(mCallers.onHead(ordinary, 400, 600, nowMs).isPresent(), is(true));
            mCallers.onBody(ordinary, nowMs);
            mCallers.onEnd(ordinary, nowMs);
            mCallers.close(ordinary, nowMs);
        }
        assertThat(mEvicted.contains("ordinary"), is(false));
    }

    @Test
    void shouldGoOnWithAStreamBesideACrowdOfLongRequests() {
        Caller stream = open("stream", 0);
        mCallers.onHead(stream, 100, 1 << 20, 0);
        mCallers.onBody(stream, 0);
        for (int i = 0; i < 9; i++) {
            Caller running = open("running", 0);
            mCallers.onHead(running, 100, 1 << 20, 0);
            mCallers.onBody(running, 0);
            assertThat(mCallers.onStream(stream, 4_000 + i, 0), is(true));
        }
        mCallers.onStream(stream, 0, 0);
        assertThat(stream.hold().bytes(), greaterThanOrEqualTo(1L << 20));
        assertThat(mEvicted, is(List.of()));
    }
}
