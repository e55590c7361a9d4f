package dev.cactusspan.forward;

import java.util.OptionalLong;

/**
 * Decides whether a request that no target can take now waits or is rejected at once. Load
 * patterns: all targets are full for a moment, so that another process may have a place sooner; or
 * all targets limit their requests, so that each gets its turn and no other process has more.
 */
final class WaitRule {
    /** Retry-After hint for requests that have not run, in milliseconds. */
    static final long RETRY_AFTER_MS = 60;

    /**
     * Retry-After hint while no target in the regions of a request serves, in milliseconds: about
     * the time after which targets that start or come back are listed.
     */
    static final long NO_TARGET_RETRY_AFTER_MS = 400;

    /** Fraction of the latency objective that a request waits for a target that may refuse it. */
    private static final double WAIT_SLO_FRACTION = 0.2;

    /**
     * Fraction of its time-out that a request waits for a permit while all targets limit their
     * requests.
     */
    private static final double PERMIT_WAIT_FRACTION = 0.5;

    private WaitRule() {}

    /**
     * Decides whether a request is rejected.
     *
     * @param waitedMs how long it has waited, in milliseconds
     * @param timeoutMs its time-out in milliseconds
     * @param sloMs latency objective of its route in milliseconds
     * @param permitWaitMs expected time until a permit in milliseconds, empty unless all targets
     *     limit their requests
     * @return Retry-After in milliseconds if it is rejected, empty if it waits
     */
    static OptionalLong rejectionMs(
            long waitedMs, long timeoutMs, long sloMs, OptionalLong permitWaitMs) {
        double maxWaitMs =
                permitWaitMs.isPresent()
                        ? PERMIT_WAIT_FRACTION * timeoutMs
                        : WAIT_SLO_FRACTION * sloMs;
        return waitedMs + permitWaitMs.orElse(0) > maxWaitMs
                ? OptionalLong.of(Math.max(RETRY_AFTER_MS, permitWaitMs.orElse(0)))
                : OptionalLong.empty();
    }
}
