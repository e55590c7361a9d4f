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
    private final PriorityQueue<Long> mLowerMs = new PriorityQueue<>((a, b) -> Long.compare(b, a));
    private final PriorityQueue<Long> mUpperMs = new PriorityQueue<>();
    private int mHedges;

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
        if (mLowerMs.isEmpty() || durationMs <= mLowerMs.peek()) {
            mLowerMs.add(durationMs);
        } else {
            mUpperMs.add(durationMs);
        }
        if (mLowerMs.size() > mUpperMs.size() + 1) {
            mUpperMs.add(mLowerMs.poll());
        } else if (mUpperMs.size() > mLowerMs.size()) {
            mLowerMs.add(mUpperMs.poll());
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
        boolean isKnown = mLowerMs.size() + mUpperMs.size() >= MIN_FINISHED;
        if (!isKnown || runningMs < mLateFactor * mLowerMs.peek()) {
            return false;
        }
        if (mHedges + 1 > mMaxShare * stepSamples) {
            return false;
        }
        mHedges++;
        return true;
    }

    /**
     * Returns how many second runs there were.
     *
     * @return the number of hedges
     */
    public int hedgeCount() {
        return mHedges;
    }
}
