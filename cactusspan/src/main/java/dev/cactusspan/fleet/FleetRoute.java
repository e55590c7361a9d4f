package dev.cactusspan.fleet;

import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import java.util.List;

/**
 * A route of the desired state.
 *
 * @param name its name
 * @param host the host that it serves
 * @param prefix path prefix, with a slash at both ends
 * @param kind what may be done with its requests
 * @param timeoutMs longest time that a request is kept, zero for no bound
 * @param sloMs time within which an answer earns its full benefit
 * @param priority rank, where 0 is the highest
 * @param shares services that take its requests, by weight
 * @param maxAttempts targets that one request may be sent to
 * @param isOpen true if requests need no key
 * @param isResumable true if a stream may go on at another target
 * @param batch bounds of batches, only meaningful for {@link RouteKind#BATCH}
 */
public record FleetRoute(
        RouteId name,
        String host,
        String prefix,
        RouteKind kind,
        long timeoutMs,
        long sloMs,
        int priority,
        List<Share> shares,
        int maxAttempts,
        boolean isOpen,
        boolean isResumable,
        BatchBounds batch) {

    /**
     * A service's share of a route.
     *
     * @param service the service
     * @param weight its weight among the shares
     */
    public record Share(ServiceId service, double weight) {}

    /**
     * Bounds of batches.
     *
     * @param dueMs all results are due this long after the first submission
     * @param retentionMs an item may be given up this long after the first submission
     * @param singleVersion true if one weight version must produce a whole text
     */
    public record BatchBounds(long dueMs, long retentionMs, boolean singleVersion) {}

    /**
     * Draws a service by weight.
     *
     * @param draw a number from 0 to 1
     * @return the service
     */
    public ServiceId chooseService(double draw) {
        double total = shares.stream().mapToDouble(Share::weight).sum();
        double left = draw * total;
        for (Share share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }

    /**
     * Tells whether a request may be run again after it may have run.
     *
     * @return true for idempotent requests and resumable streams
     */
    public boolean isRepeatable() {
        return kind == RouteKind.IDEMPOTENT || isResumable;
    }
}
