package dev.cactusspan.overload;

/**
 * Decides what a process that is behind still takes on.
 *
 * <p>Answers the load pattern of more accepted work than processor time: without a limit every
 * request waits unread until its caller has given up, and the process serves nobody. The delay
 * between arrival and decision is measured all the time. While even the shortest of the last
 * measurements is long, or the tasks that wait will take long, new work is refused, batches first,
 * as each brings hundreds of sends. One long measurement, such as a pause for garbage collection,
 * refuses nothing.
 */
public final class OverloadGate {
    /**
     * Delay above which no batch is accepted, in milliseconds. The usual objective of a submission
     * is 400 ms or more, and its response waits for the store and for the delay once again.
     */
    private static final long BATCH_DELAY_MS = 150;

    /**
     * Delay above which no request is accepted, in milliseconds. A request that waits longer before
     * it is sent misses the usual objectives of 200 to 500 ms, and its retry finds another process.
     */
    private static final long REQUEST_DELAY_MS = 250;

    private static final int MEASUREMENTS = 2;

    private final long[] mDelaysMs = new long[MEASUREMENTS];
    private int mNext;
    private long mMeasuredMs;
    private long mQueueMs;
    private volatile long mDelayMs;

    /** Kinds of new work, by what they cost the process. */
    public enum Work {
        /** A batch, with all its items. */
        BATCH,
        /** A single request. */
        REQUEST
    }

    // Operations

    /**
     * Records a measurement.
     *
     * @param delayMs time between arrival and decision, in milliseconds
     */
    public void record(long delayMs) {
        mDelaysMs[mNext] = delayMs;
        mNext = (mNext + 1) % MEASUREMENTS;
        recordPending(0);
    }

    /**
     * Records how long a measurement already takes that is not complete.
     *
     * @param ageMs its age in milliseconds, 0 if there is none
     */
    public void recordPending(long ageMs) {
        mMeasuredMs = Math.max(shortestMs(mDelaysMs[mNext]), shortestMs(ageMs));
        mDelayMs = Math.max(mMeasuredMs, mQueueMs);
    }

    /**
     * Records how long the tasks that wait will take. This tells of a flood before a measurement
     * has passed through it.
     *
     * @param queueMs expected time in milliseconds
     */
    public void recordQueue(long queueMs) {
        mQueueMs = queueMs;
        mDelayMs = Math.max(mMeasuredMs, queueMs);
    }

    /** Returns the shortest of a measurement and of all but the oldest of those recorded. */
    private long shortestMs(long delayMs) {
        long shortestMs = delayMs;
        for (int i = 0; i < MEASUREMENTS; i++) {
            if (i != mNext) {
                shortestMs = Math.min(shortestMs, mDelaysMs[i]);
            }
        }
        return shortestMs;
    }

    // Accessors

    /**
     * Returns whether new work is refused. May be called on any thread.
     *
     * @param work kind of work
     * @return true if the process cannot carry it
     */
    public boolean refuses(Work work) {
        return mDelayMs > (work == Work.BATCH ? BATCH_DELAY_MS : REQUEST_DELAY_MS);
    }

    /**
     * Returns the delay that new work meets. May be called on any thread.
     *
     * @return delay in milliseconds
     */
    public long delayMs() {
        return mDelayMs;
    }
}
