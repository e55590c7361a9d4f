package dev.cactusspan.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/** Tests how urgent runs are, also by replaying two steps that start at the same moment. */
final class RunPriorityTest {
    private static final double EVENT_MS = 25.4;
    private static final int SLOTS = 126;

    @Test
    void shouldPutLongItemsFirstWithinTheirRouteOnly() {
        for (int route = 0; route < 3; route++) {
            assertThat(RunPriority.of(route, true), lessThan(RunPriority.of(route, false)));
            assertThat(RunPriority.of(route, false), lessThan(RunPriority.of(route + 1, true)));
        }
    }

    @Test
    void shouldStayWithinTheRangeOfTargets() {
        for (int route : new int[] {-1, 0, 4, 100, Integer.MAX_VALUE}) {
            assertThat(
                    RunPriority.of(route, false),
                    allOf(greaterThanOrEqualTo(0), lessThanOrEqualTo(9)));
        }
    }

    /**
     * Two trainers send 128 items each to 126 slots, in turns. The last long text of the urgent
     * route ends sooner than without priorities, and the other trainer's step is still done in 3 s.
     */
    @Test
    void shouldEndTheLongestTextSooner() {
        List<Run> runs = new ArrayList<>();
        for (int i = 0; i < 128; i++) {
            runs.add(new Run(1, 12, i));
            runs.add(new Run(0, i % 32 == 31 ? 280 : 20, i));
        }
        List<Run> unordered = List.copyOf(runs);
        runs.sort(Comparator.comparingInt(Run::priority));
        double before = endMs(unordered, 0);
        double after = endMs(runs, 0);
        assertThat(after, is(280 * EVENT_MS));
        assertThat(after + 200, lessThan(before));
        assertThat(endMs(runs, 1), lessThan(3_000.0));
    }

    private record Run(int route, int events, int index) {
        int priority() {
            return RunPriority.of(route, events > 100);
        }
    }

    /** Time at which the last run of a route ends, when slots take the runs in the given order. */
    private static double endMs(List<Run> order, int route) {
        PriorityQueue<Double> free = new PriorityQueue<>();
        for (int i = 0; i < SLOTS; i++) {
            free.add(0.0);
        }
        double lastMs = 0;
        for (Run run : order) {
            double end = free.remove() + run.events() * EVENT_MS;
            free.add(end);
            lastMs = run.route() == route ? Math.max(lastMs, end) : lastMs;
        }
        return lastMs;
    }
}
