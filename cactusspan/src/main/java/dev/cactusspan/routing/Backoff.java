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
     * @param baseMs bound of the first delay
     * @param maxMs bound of any delay
     * @param random the source of randomness
     */
    public Backoff(long baseMs, long maxMs, SplittableRandom random) {
        mBaseMs = baseMs;
        mMaxMs = maxMs;
        mRandom = random;
    }

    /**
     * Draws a delay.
     *
     * @param attempt number of failures so far, from one
     * @return the delay, at least one millisecond
     */
    public long delayMs(int attempt) {
        int doublings = Math.min(20, Math.max(0, attempt - 1));
        long boundMs = Math.min(mMaxMs, mBaseMs << doublings);
        return 1 + mRandom.nextLong(boundMs);
    }
}
