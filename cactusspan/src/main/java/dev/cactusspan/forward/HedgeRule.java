package dev.cactusspan.forward;

import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.RouteKind;

/**
 * Decides when a request is sent to a second target as well. Load pattern: one target of a service
 * turns slow, and answers long after the others would.
 */
final class HedgeRule {
    /** Fraction of the latency objective after which a hedge is sent to a second target. */
    private static final double SLO_FRACTION = 0.4;

    private HedgeRule() {}

    /**
     * Tells whether a hedge is due.
     *
     * @param pending a request that may be run once more
     * @param nowMs monotonic clock in milliseconds
     * @return true if the latest attempt has had no response for too long
     */
    static boolean isDue(ForwardedRequest pending, long nowMs) {
        FleetRoute route = pending.route();
        return !pending.isStreaming()
                && route.kind() == RouteKind.IDEMPOTENT
                && route.sloMs() > 0
                && nowMs - pending.lastSentMs() > SLO_FRACTION * route.sloMs();
    }
}
