package dev.cactusspan.gateway;

/**
 * Decides how long a batch waits for the store and when it is tried again.
 *
 * <p>Answers the load pattern of trainers that ask for their steps while the store is away for some
 * seconds. A refusal at once sends both tries of a trainer into the same outage. A batch that waits
 * here is written as soon as the store answers, with most of the time that its trainer allows left
 * to run it. The rest of the trainer's time stays for its second try.
 */
final class SubmissionRule {
    /**
     * Part of the time that the client allows for which a batch waits at most. Two tries then cover
     * an outage of more than half of that time.
     */
    private static final double WAIT_SHARE = 0.4;

    /** Longest wait, in milliseconds; a route's time-out is at least 10 s where batches run. */
    private static final long MAX_WAIT_MS = 4_800;

    /** Time that a client allows who does not say, in milliseconds. */
    private static final long DEFAULT_TIMEOUT_MS = 6_000;

    /** Interval of tries while the store is known to answer, in milliseconds. */
    private static final long ANSWERING_RETRY_MS = 100;

    /** Interval of tries while it does not; each costs a call, in milliseconds. */
    private static final long AWAY_RETRY_MS = 500;

    /** Time after which a refused client comes again, in milliseconds. */
    private static final long RETRY_AFTER_MS = 1_500;

    private SubmissionRule() {}

    /**
     * Returns until when a batch waits.
     *
     * @param submittedMs when it came, on the monotonic clock in milliseconds
     * @param clientTimeoutMs the time that its client allows, 0 if unknown
     * @return the time at which it is refused, on the same clock
     */
    static long waitUntilMs(long submittedMs, long clientTimeoutMs) {
        long timeoutMs = clientTimeoutMs > 0 ? clientTimeoutMs : DEFAULT_TIMEOUT_MS;
        return submittedMs + Math.min(MAX_WAIT_MS, (long) (WAIT_SHARE * timeoutMs));
    }

    /**
     * Returns whether a batch whose last try certainly had no effect is tried again now.
     *
     * @param triedMs when the last try failed, on the monotonic clock in milliseconds
     * @param isStoreAnswering whether the store answered the latest call of this process
     * @param nowMs monotonic clock in milliseconds
     * @return true if a try is due
     */
    static boolean isTryDue(long triedMs, boolean isStoreAnswering, long nowMs) {
        return nowMs - triedMs >= (isStoreAnswering ? ANSWERING_RETRY_MS : AWAY_RETRY_MS);
    }

    /**
     * Returns when a client whose batch waited in vain comes again.
     *
     * @return time after the refusal, in milliseconds
     */
    static long retryAfterMs() {
        return RETRY_AFTER_MS;
    }
}
