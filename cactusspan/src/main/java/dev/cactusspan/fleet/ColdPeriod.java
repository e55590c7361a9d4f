package dev.cactusspan.fleet;

import java.util.OptionalDouble;

/**
 * How many requests a target may get while it is cold and just after. Load pattern: a zone comes
 * back, and all processes send to its targets in the same moment, as they are the ones without
 * load. After the cold time the rate doubles several times before it ends, so that nobody rushes.
 *
 * <p>A target is cold as long as its entry or its own responses say, counted from when this process
 * read them, which ends later than in truth. It may be cold, too, after its zone was taken back and
 * after it refused a connection, as it may have started again.
 */
final class ColdPeriod {
    /** Time after the cold time until the rate is no longer limited, in milliseconds. */
    static final long RAMP_MS = 1_000;

    /** Time in which the rate doubles after the cold time, in milliseconds. */
    private static final double DOUBLING_MS = 250;

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private long mUnreadRemainingMs = -1;
    private long mListedUntilMs = NEVER_MS;
    private long mObservedUntilMs = NEVER_MS;

    /** Records what an entry of the target says; the time counts from the next call with a time. */
    void recordListed(long remainingMs) {
        mUnreadRemainingMs = remainingMs;
    }

    /** Records what a response of the target says. */
    void recordObserved(long remainingMs, long nowMs) {
        mObservedUntilMs =
                remainingMs > 0 ? nowMs + remainingMs : Math.min(mObservedUntilMs, nowMs);
    }

    /** Records that the target may be cold. */
    void suspect(long forMs, long nowMs) {
        mObservedUntilMs = Math.max(mObservedUntilMs, nowMs + forMs);
    }

    /**
     * Returns the rate of the permits for the target.
     *
     * @param issuedPerS rate for a cold target, zero if it has no bound
     * @param nowMs monotonic clock in milliseconds
     * @return permits per second, empty if the target needs none
     */
    OptionalDouble limitPerS(double issuedPerS, long nowMs) {
        if (mUnreadRemainingMs >= 0) {
            mListedUntilMs =
                    mUnreadRemainingMs > 0
                            ? nowMs + mUnreadRemainingMs
                            : Math.min(mListedUntilMs, nowMs);
            mUnreadRemainingMs = -1;
        }
        long sinceMs = nowMs - Math.max(mListedUntilMs, mObservedUntilMs);
        if (issuedPerS <= 0 || sinceMs >= RAMP_MS) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(issuedPerS * Math.pow(2, Math.max(0, sinceMs) / DOUBLING_MS));
    }

    /** Tells whether the target is cold, as far as this process knows. */
    boolean isCold(long nowMs) {
        return mUnreadRemainingMs > 0 || nowMs < Math.max(mListedUntilMs, mObservedUntilMs);
    }
}
