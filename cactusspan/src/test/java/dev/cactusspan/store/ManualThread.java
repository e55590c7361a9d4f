package dev.cactusspan.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;

/** An executor and a clock that advance only when a test says so. */
public final class ManualThread implements Executor {
    private final Deque<Runnable> mTasks = new ArrayDeque<>();
    private long mNowMs = 1_000_000;

    @Override
    public void execute(Runnable task) {
        mTasks.add(task);
    }

    /** Runs tasks until the queue is empty. */
    public void runAll() {
        for (Runnable task = mTasks.poll(); task != null; task = mTasks.poll()) {
            task.run();
        }
    }

    public void advance(long ms) {
        mNowMs += ms;
    }

    public long nowMs() {
        return mNowMs;
    }
}
