package dev.cactusspan.capacity;

/**
 * How long units of one kind of work take at one target, against the shortest mean seen there a
 * short time ago.
 */
final class WorkPace {
    /**
     * Units of work in a mean. Single requests of one kind differ by half, and one in a hundred
     * takes several times as long; the mean of so many stays within twice the shortest.
     */
    static final int UNITS = 8;

    /**
     * Rate at which the shortest mean is forgotten, per second. A change that lasts counts as usual
     * after half a minute, longer than disturbances last.
     */
    private static final double FORGET_PER_S = 0.02;

    private static final double MS_PER_S = 1_000;

    private double mShortestMs;
    private long mShortestAsOfMs;
    private double mSumMs;
    private int mCount;
    private int mMaxInFlight;

    /** Adds a unit of work; returns true if a mean is complete. */
    boolean add(double durationMs, int inFlight) {
        if (mCount == UNITS) {
            mCount = 0;
            mSumMs = 0;
            mMaxInFlight = 0;
        }
        mSumMs += durationMs;
        mMaxInFlight = Math.max(mMaxInFlight, inFlight);
        mCount++;
        return mCount == UNITS;
    }

    /** Returns the complete mean relative to the shortest one, 1 or more. */
    double slowdown(long nowMs) {
        double meanMs = Math.max(1, mSumMs / mCount);
        double forgotten = Math.exp(FORGET_PER_S * (nowMs - mShortestAsOfMs) / MS_PER_S);
        double usualMs = mShortestMs * forgotten;
        mShortestMs = mShortestMs == 0 ? meanMs : Math.min(meanMs, usualMs);
        mShortestAsOfMs = nowMs;
        return meanMs / mShortestMs;
    }

    /** Returns the shortest mean seen, zero if there is none. */
    double usualMs() {
        return mShortestMs;
    }

    /** Returns the most work that was in flight during the units of the mean. */
    int maxInFlight() {
        return mMaxInFlight;
    }
}
