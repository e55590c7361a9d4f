package dev.cactusspan.sample;

import java.util.PriorityQueue;

/**
 * Decides when a slow sample is run a second time. Only the tail of a step is hedged: a sample is
 * late when it has run for a multiple of the median duration of the finished samples. The number of
 * hedges is limited to a share of the samples of the step.
 */
public final class HedgePolicy {
    private static final int MIN_FINISHED = 8;

    private final double mLateFactor;
    private final double mMaxShare;
    private final PriorityQueue<Long> mLowerHalfMs =
            new PriorityQueue<>((a, b) -> Long.compare(b, a));
    private final PriorityQueue<Long> mUpperHalfMs = new PriorityQueue<>();
    private int mHedgeCount;

    /**
     * Creates a policy.
     *
     * @param lateFactor multiple of the median duration from which a sample is late
     * @param maxShare maximum number of hedges, as a share of the samples of the step
     */
    public HedgePolicy(double lateFactor, double maxShare) {
        mLateFactor = lateFactor;
        mMaxShare = maxShare;
    }

    /**
     * Returns a policy that never hedges, for comparisons.
     *
     * @return the policy
     */
    public static HedgePolicy never() {
        return new HedgePolicy(Double.POSITIVE_INFINITY, 0);
    }

    /**
     * Records how long a finished sample ran.
     *
     * @param durationMs its duration in milliseconds
     */
    public void recordDuration(long durationMs) {
        if (mLowerHalfMs.isEmpty() || durationMs <= mLowerHalfMs.peek()) {
            mLowerHalfMs.add(durationMs);
        } else {
            mUpperHalfMs.add(durationMs);
        }
        if (mLowerHalfMs.size() > mUpperHalfMs.size() + 1) {
            mUpperHalfMs.add(mLowerHalfMs.poll());
        } else if (mUpperHalfMs.size() > mLowerHalfMs.size()) {
            mLowerHalfMs.add(mUpperHalfMs.poll());
        }
    }

    /**
     * Decides whether to run a sample a second time, and counts the hedge if so.
     *
     * @param runningMs how long it has run, in milliseconds
     * @param stepSamples number of samples of the step
     * @return true to run it again
     */
    public boolean tryHedge(long runningMs, int stepSamples) {
        boolean isMedianKnown = mLowerHalfMs.size() + mUpperHalfMs.size() >= MIN_FINISHED;
        if (!isMedianKnown || runningMs < mLateFactor * mLowerHalfMs.peek()) {
            return false;
        }
        if (mHedgeCount + 1 > mMaxShare * stepSamples) {
            return false;
        }
        mHedgeCount++;
        return true;
    }

    /**
     * Returns the number of hedges so far.
     *
     * @return the number of hedges
     */
    public int hedgeCount() {
        return mHedgeCount;
    }
}
