package dev.cactusspan.batch;

import java.util.ArrayList;
import java.util.List;

/** Tasks that are scheduled for a later tick. */
final class DelayedTasks {
    private final List<Delayed> mDelayed = new ArrayList<>();

    private record Delayed(long dueMs, Runnable task) {}

    void add(long dueMs, Runnable task) {
        mDelayed.add(new Delayed(dueMs, task));
    }

    /** Runs and removes the tasks that are due. */
    void runDue(long nowMs) {
        List<Delayed> due = new ArrayList<>();
        mDelayed.removeIf(d -> nowMs >= d.dueMs() && due.add(d));
        due.forEach(d -> d.task().run());
    }
}
