package dev.cactusspan.routing;

import java.util.SplittableRandom;

/** Exponential back-off with full jitter. */
public final class Backoff {
    private final long mBaseMs;
    private final long mMaxMs;
    private final SplittableRandom mRandom;

    /**
     * Creates a back-off.
     *
     * @param baseMs upper bound of the first delay, in milliseconds
     * @param maxMs upper bound of all delays, in milliseconds
     * @param random the source of randomness
     */
    public Backoff(long baseMs, long maxMs, SplittableRandom random) {
        mBaseMs = baseMs;
        mMaxMs = maxMs;
        mRandom = random;
    }

    /**
     * Returns a random delay.
     *
     * @param attempt number of failures so far, starting at one
     * @return the delay in milliseconds, at least one
     */
    public long delayMs(int attempt) {
        int doublings = Math.min(20, Math.max(0, attempt - 1));
        long upperBoundMs = Math.min(mMaxMs, mBaseMs << doublings);
        return 1 + mRandom.nextLong(upperBoundMs);
    }
}
