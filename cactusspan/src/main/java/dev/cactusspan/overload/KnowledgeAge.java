package dev.cactusspan.overload;

/**
 * Tells whether what a process knows of some keys of the store is new enough to act on.
 *
 * <p>Answers the load pattern of a process that gets less processor time than its work needs: news
 * of the store then lie unread for seconds, and a request would be decided on what was replaced
 * long before. A store that is away makes knowledge old as well, but for all processes, and service
 * goes on during it. So knowledge ages while the process is behind, and stops ageing while the
 * process is prompt and the store still does not answer.
 */
public final class KnowledgeAge {
    /**
     * Part of a bound that is left for the way of a send to its target and for the interval of the
     * measurements, in milliseconds.
     */
    private static final long RESERVE_MS = 700;

    /** Least age that is allowed, in milliseconds; several times the interval of measurements. */
    private static final long MIN_BOUND_MS = 800;

    /**
     * Delay up to which the process is not to blame for a call without an answer, in milliseconds.
     * The time-out of a call is 900 ms.
     */
    private static final long PROMPT_MS = 400;

    /**
     * Time for which a prompt process must get no answer until the store counts as away, in
     * milliseconds. It covers a back-off of 600 ms and a call that was begun while the process was
     * behind.
     */
    private static final long AWAY_AFTER_MS = 1_000;

    private static final long NEVER = Long.MIN_VALUE / 4;

    private final long mBoundMs;
    private long mReadThroughMs = NEVER;
    private long mKnownMs = NEVER;
    private long mNotAwayMs = NEVER;

    /**
     * Creates a rule.
     *
     * @param boundMs time within which a change must have its effect, in milliseconds
     */
    public KnowledgeAge(long boundMs) {
        mBoundMs = Math.max(MIN_BOUND_MS, boundMs - RESERVE_MS);
    }

    // Operations

    /**
     * Records that all bytes that had arrived at a time have been read and acted on.
     *
     * @param atMs the time, on the monotonic clock in milliseconds
     */
    public void recordReadThrough(long atMs) {
        mReadThroughMs = Math.max(mReadThroughMs, atMs);
    }

    /**
     * Records what the mirror of the keys says of itself.
     *
     * @param knownMs when its keys were known to be the newest, on the monotonic clock in
     *     milliseconds
     * @param isAnswered whether the store answered its last call
     * @param nowMs monotonic clock in milliseconds
     */
    public void recordMirror(long knownMs, boolean isAnswered, long nowMs) {
        mKnownMs = Math.max(mKnownMs, knownMs);
        if (isAnswered || delayMs(nowMs) > PROMPT_MS) {
            mNotAwayMs = nowMs;
        }
    }

    // Accessors

    /**
     * Returns how far behind the process is.
     *
     * @param nowMs monotonic clock in milliseconds
     * @return age of the newest bytes that are certainly read, in milliseconds
     */
    public long delayMs(long nowMs) {
        return nowMs - mReadThroughMs;
    }

    /**
     * Returns the age of the knowledge.
     *
     * @param nowMs monotonic clock in milliseconds
     * @return age in milliseconds; that of the process's own delay while the store is away
     */
    public long ageMs(long nowMs) {
        boolean isAway = nowMs - mNotAwayMs >= AWAY_AFTER_MS;
        return isAway ? delayMs(nowMs) : Math.max(delayMs(nowMs), nowMs - mKnownMs);
    }

    /**
     * Returns whether the knowledge may be acted on.
     *
     * @param nowMs monotonic clock in milliseconds
     * @return false if it may have been replaced for longer than its bound allows
     */
    public boolean isCurrent(long nowMs) {
        return ageMs(nowMs) <= mBoundMs;
    }
}
