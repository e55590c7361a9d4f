package dev.cactusspan.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.cactusspan.overload.OverloadGate.Work;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;

/** Measures delays of a slow executor, and compares what it serves with and without the gate. */
final class OverloadGateTest {
    private final OverloadGate mGate = new OverloadGate();

    private void record(long... delaysMs) {
        for (long ms : delaysMs) {
            mGate.record(ms);
        }
    }

    @Test
    void shouldAcceptWhileOneMeasurementIsLong() {
        record(5, 3_000, 5);
        assertThat(mGate.refuses(Work.BATCH), is(false));
        assertThat(mGate.delayMs(), is(5L));
    }

    @Test
    void shouldRefuseBatchesBeforeRequests() {
        record(200, 210);
        assertThat(mGate.refuses(Work.BATCH), is(true));
        assertThat(mGate.refuses(Work.REQUEST), is(false));
        record(500, 600);
        assertThat(mGate.refuses(Work.REQUEST), is(true));
    }

    @Test
    void shouldCountAMeasurementThatIsNotComplete() {
        record(5, 500, 500);
        mGate.recordPending(5_000);
        assertThat(mGate.refuses(Work.REQUEST), is(true));
    }

    @Test
    void shouldAcceptAgainOnceTheDelayIsShort() {
        record(900, 900, 900);
        record(10);
        assertThat(mGate.refuses(Work.BATCH), is(false));
    }

    /**
     * Serves requests of 10 ms each that come at a rate with an executor that does one at a time,
     * and counts those that are decided within their objective.
     */
    private static int served(double load, boolean isGated) {
        OverloadGate gate = new OverloadGate();
        Deque<Long> queue = new ArrayDeque<>();
        long objectiveMs = 500;
        double owed = 0;
        int served = 0;
        for (long nowMs = 0; nowMs < 60_000; nowMs += 10) {
            for (owed += load; owed >= 1; owed--) {
                if (!isGated || !gate.refuses(Work.REQUEST)) {
                    queue.add(nowMs);
                }
            }
            if (!queue.isEmpty()) {
                served += nowMs - queue.poll() <= objectiveMs ? 1 : 0;
            }
            gate.recordQueue(queue.size() * 10L);
            if (nowMs % 150 == 0) {
                gate.record(queue.isEmpty() ? 0 : nowMs - queue.peek());
            }
        }
        return served;
    }

    @Test
    void shouldRefuseWhenAFloodWaitsThatNoMeasurementHasPassed() {
        record(5, 5);
        mGate.recordQueue(900);
        assertThat(mGate.refuses(Work.REQUEST), is(true));
        mGate.recordQueue(20);
        assertThat(mGate.refuses(Work.REQUEST), is(false));
    }

    @Test
    void shouldKeepServingPastItsCapacity() {
        int atCapacity = served(1, true);
        for (double load : new double[] {1.5, 2, 3, 4}) {
            int served = served(load, true);
            assertThat("load " + load, served, greaterThan(atCapacity * 9 / 10));
            assertThat("load " + load, served(load, false), lessThan(served / 10));
        }
    }

    @Test
    void shouldRefuseNothingBelowItsCapacity() {
        assertThat(served(0.5, true), is(served(0.5, false)));
    }
}
