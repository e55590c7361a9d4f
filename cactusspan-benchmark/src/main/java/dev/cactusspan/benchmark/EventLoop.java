package dev.cactusspan.benchmark;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs scheduled tasks in the order of their simulated time, in one thread. */
final class EventLoop {
    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Task::timeMs).thenComparingLong(Task::number));
    private double mNowMs;
    private long mNumber;

    void schedule(double delayMs, Runnable task) {
        mTasks.add(new Task(mNowMs + delayMs, mNumber++, task));
    }

    /** Runs all tasks that are due by a time, and advances the simulated time to it. */
    void runUntil(double timeMs) {
        while (!mTasks.isEmpty() && mTasks.peek().timeMs() <= timeMs) {
            Task task = mTasks.poll();
            mNowMs = task.timeMs();
            task.task().run();
        }
        mNowMs = timeMs;
    }

    double nowMs() {
        return mNowMs;
    }

    private record Task(double timeMs, long number, Runnable task) {}
}
