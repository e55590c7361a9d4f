package dev.cactusspan.batch;

import java.util.ArrayList;
import java.util.List;

/** Tasks that run at a later tick. */
final class DelayedTasks {
    private final List<Delayed> mDelayed = new ArrayList<>();

    private record Delayed(long atMs, Runnable task) {}

    void add(long atMs, Runnable task) {
        mDelayed.add(new Delayed(atMs, task));
    }

    /** Runs the tasks that are due. */
    void run(long nowMs) {
        List<Delayed> due = new ArrayList<>();
        mDelayed.removeIf(d -> nowMs >= d.atMs() && due.add(d));
        due.forEach(d -> d.task().run());
    }
}
