package dev.cactusspan.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Bodies that take more than one turn of the I/O thread. Load pattern: crowds that send bodies in
 * very small chunks, each of which costs as much time as a large one. The I/O thread runs all its
 * tasks before it looks at its sockets, so the bodies share one task, which ends after a while.
 * Bodies in small chunks take turns with the others, one for one.
 */
final class TurnQueue {
    /**
     * Time for bodies between two looks at the sockets, in nanoseconds: a fraction of the shortest
     * objective of a request.
     */
    private static final long MAX_RUN_NS = 4_000_000;

    /** Delay of the next task, in milliseconds, which lets the thread look at its sockets. */
    private static final long PAUSE_MS = 1;

    private final Scheduler mScheduler;
    private final LongSupplier mNowNs;
    private final Deque<Runnable> mOrdinary = new ArrayDeque<>();
    private final Deque<Runnable> mCostly = new ArrayDeque<>();
    private boolean mIsScheduled;
    private boolean mIsCostlyNext;

    /** Runs tasks of the I/O thread. */
    interface Scheduler {
        /**
         * Runs a task later, and not before the thread has looked at its sockets.
         *
         * @param task the task
         * @param delayMs delay in milliseconds
         */
        void runAfter(Runnable task, long delayMs);
    }

    /**
     * Creates an empty queue.
     *
     * @param scheduler runs its task
     * @param nowNs the steady clock in nanoseconds
     */
    TurnQueue(Scheduler scheduler, LongSupplier nowNs) {
        mScheduler = scheduler;
        mNowNs = nowNs;
    }

    /**
     * Adds a turn.
     *
     * @param turn reads a bounded part of a body
     * @param isCostly true if the body comes in small chunks
     */
    void add(Runnable turn, boolean isCostly) {
        (isCostly ? mCostly : mOrdinary).add(turn);
        if (!mIsScheduled) {
            mIsScheduled = true;
            mScheduler.runAfter(this::run, PAUSE_MS);
        }
    }

    private void run() {
        try {
            runTurns();
        } finally {
            mIsScheduled = !mOrdinary.isEmpty() || !mCostly.isEmpty();
            if (mIsScheduled) {
                mScheduler.runAfter(this::run, PAUSE_MS);
            }
        }
    }

    private void runTurns() {
        long untilNs = mNowNs.getAsLong() + MAX_RUN_NS;
        while (mNowNs.getAsLong() - untilNs < 0) {
            Optional<Runnable> turn = poll();
            if (turn.isEmpty()) {
                return;
            }
            turn.get().run();
        }
    }

    private Optional<Runnable> poll() {
        mIsCostlyNext = !mIsCostlyNext;
        Deque<Runnable> first = mIsCostlyNext ? mCostly : mOrdinary;
        Deque<Runnable> second = mIsCostlyNext ? mOrdinary : mCostly;
        return Optional.ofNullable(first.isEmpty() ? second.poll() : first.poll());
    }
}
