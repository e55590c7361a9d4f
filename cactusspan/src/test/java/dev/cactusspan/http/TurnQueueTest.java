package dev.cactusspan.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class TurnQueueTest {
    private static final long TURN_NS = 1_000_000;

    private final List<Runnable> mTasks = new ArrayList<>();
    private final List<String> mTurns = new ArrayList<>();
    private long mNowNs;
    private final TurnQueue mQueue =
            new TurnQueue((task, delayMs) -> mTasks.add(task), () -> mNowNs);

    /** Adds a body that takes a number of turns. */
    private void add(String name, int turns, boolean isCostly) {
        mQueue.add(
                () -> {
                    mNowNs += TURN_NS;
                    mTurns.add(name);
                    if (turns > 1) {
                        add(name, turns - 1, isCostly);
                    }
                },
                isCostly);
    }

    private void runTask() {
        mTasks.remove(0).run();
    }

    @Test
    void shouldEndATaskWhileTurnsAreLeft() {
        add("a", 1_000, true);
        add("b", 1_000, true);
        for (int i = 1; i <= 10; i++) {
            assertThat(mTasks.size(), is(1));
            runTask();
            assertThat(mTurns.size(), is(4 * i));
        }
    }

    @Test
    void shouldLetCostlyBodiesAlternateWithOthers() {
        add("small chunks 1", 4, true);
        add("small chunks 2", 4, true);
        add("large", 4, false);
        runTask();
        assertThat(mTurns, is(List.of("small chunks 1", "large", "small chunks 2", "large")));
    }

    @Test
    void shouldScheduleNothingWithoutTurns() {
        add("a", 1, false);
        runTask();
        assertThat(mTasks, is(empty()));
        add("a", 1, false);
        assertThat(mTasks.size(), is(1));
    }
}
