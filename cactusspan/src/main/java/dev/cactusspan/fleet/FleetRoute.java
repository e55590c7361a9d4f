package dev.cactusspan.fleet;

import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.region.Residency;
import java.util.List;

/**
 * A route of the desired state.
 *
 * @param name name of the route
 * @param host host name that the route matches
 * @param prefix path prefix, with a leading and a trailing slash
 * @param kind how the requests may be run
 * @param timeoutMs maximum time that a request may take, zero for no limit
 * @param sloMs latency objective: the time within which a response is worth its full benefit
 * @param priority priority, where 0 is the highest
 * @param shares services that receive the requests, with their weights
 * @param maxAttempts maximum number of attempts that may have run for one request
 * @param isOpen true if requests need no key
 * @param isResumable true if a stream may be resumed at another target
 * @param batch limits of batches, only used for {@link RouteKind#BATCH}
 * @param residency regions to which the requests are bound
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
        BatchBounds batch,
        Residency residency) {
    /** Creates a route whose requests are bound to no region. */
    public FleetRoute(
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
        this(
                name,
                host,
                prefix,
                kind,
                timeoutMs,
                sloMs,
                priority,
                shares,
                maxAttempts,
                isOpen,
                isResumable,
                batch,
                Residency.ANYWHERE);
    }

    /**
     * The share of a route's requests that a service receives.
     *
     * @param service the service
     * @param weight weight relative to the other shares
     */
    public record Share(ServiceId service, double weight) {}

    /**
     * Limits of batches.
     *
     * @param dueMs time after the first submission at which all results are due
     * @param retentionMs time after the first submission at which an item may be abandoned
     * @param singleVersion true if a complete text must be produced by one weight version
     */
    public record BatchBounds(long dueMs, long retentionMs, boolean singleVersion) {}

    /**
     * Selects a service by weight.
     *
     * @param draw random number from 0 to 1
     * @return the selected service
     */
    public ServiceId chooseService(double draw) {
        double total = shares.stream().mapToDouble(Share::weight).sum();
        double remaining = draw * total;
        for (Share share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }

    /**
     * Returns whether a request that may have run may be run again.
     *
     * @return true for idempotent requests and resumable streams
     */
    public boolean isRepeatable() {
        return kind == RouteKind.IDEMPOTENT || isResumable;
    }
}
