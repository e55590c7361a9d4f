package dev.cactusspan.routing;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.WeightVersion;

/**
 * A target as seen by a router.
 *
 * @param target the target
 * @param zone availability zone of the target
 * @param ownInFlight number of requests from this entry that are in flight at the target
 * @param otherRequests number of requests from other entries, as of the target's last report
 * @param slots number of requests that the target runs concurrently
 * @param version active weight version, zero if unknown
 */
public record Candidate(
        TargetId target,
        AvailabilityZoneId zone,
        int ownInFlight,
        int otherRequests,
        int slots,
        WeightVersion version) {

    /**
     * Returns the load per slot. The count of this entry's own requests is current, the count of
     * others is as old as the last report.
     *
     * @return load, where 1.0 means that all slots are in use
     */
    public double load() {
        return (double) (ownInFlight + otherRequests) / Math.max(1, slots);
    }
}
