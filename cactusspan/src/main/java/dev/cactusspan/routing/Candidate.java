package dev.cactusspan.routing;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.WeightVersion;

/**
 * What a router knows of a target.
 *
 * @param target the target
 * @param zone its availability zone
 * @param ownInFlight requests of this entry that are at the target
 * @param reportedRequests requests at the target and in its queue, as it last reported
 * @param slots requests that it takes at a time
 * @param version weight version in force, zero if unknown
 */
public record Candidate(
        TargetId target,
        AvailabilityZoneId zone,
        int ownInFlight,
        int reportedRequests,
        int slots,
        WeightVersion version) {

    /**
     * Returns the load for each slot. The report lags, so this entry's own requests count if they
     * are more than the report shows.
     *
     * @return 1.0 when all slots are taken
     */
    public double load() {
        return (double) Math.max(ownInFlight, reportedRequests) / Math.max(1, slots);
    }
}
