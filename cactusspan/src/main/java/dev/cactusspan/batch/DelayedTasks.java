package dev.cactusspan.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/** Tasks that are retried after a fixed delay, at a later tick. */
final class DelayedTasks {

    /** Delay between attempts to resolve a write whose outcome is unknown, in milliseconds. */
    private static final long RETRY_DELAY_MS = 80;

    private final LongSupplier mNowMs;
    private final List<Delayed> mDelayed = new ArrayList<>();

    private record Delayed(long dueMs, Runnable task) {}

    DelayedTasks(LongSupplier nowMs) {
        mNowMs = nowMs;
    }

    void add(Runnable task) {
        mDelayed.add(new Delayed(mNowMs.getAsLong() + RETRY_DELAY_MS, task));
    }

    /** Runs and removes the tasks that are due. */
    void runDue() {
        long nowMs = mNowMs.getAsLong();
        List<Delayed> due = new ArrayList<>();
        mDelayed.removeIf(d -> nowMs >= d.dueMs() && due.add(d));
        due.forEach(d -> d.task().run());
    }
}
