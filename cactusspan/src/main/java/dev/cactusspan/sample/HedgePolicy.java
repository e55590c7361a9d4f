package dev.cactusspan.sample;

import java.util.PriorityQueue;

/**
 * Decides when a sample that takes long is run a second time. Only the tail of a step is hedged: a
 * sample is late when it runs several times as long as the median of those that are finished. The
 * second runs are bounded by a share of the step.
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
     * @param lateFactor multiple of the median time at which a sample is late
     * @param maxShare second runs for each sample of the step at most
     */
    public HedgePolicy(double lateFactor, double maxShare) {
        mLateFactor = lateFactor;
        mMaxShare = maxShare;
    }

    /**
     * Returns a policy that never hedges: the baseline.
     *
     * @return the policy
     */
    public static HedgePolicy never() {
        return new HedgePolicy(Double.POSITIVE_INFINITY, 0);
    }

    /**
     * Notes how long a finished sample ran.
     *
     * @param durationMs its time
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
     * Decides whether to run a sample a second time, and if so counts it.
     *
     * @param runningMs how long it has run
     * @param stepSamples samples of the step
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
     * Returns how many second runs there were.
     *
     * @return the number of hedges
     */
    public int hedgeCount() {
        return mHedgeCount;
    }
}
