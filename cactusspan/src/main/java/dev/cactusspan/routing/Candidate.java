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
 * @param otherRequests requests of other entries at the target, as of its last report
 * @param slots requests that it takes at a time
 * @param version weight version in force, zero if unknown
 */
public record Candidate(
        TargetId target,
        AvailabilityZoneId zone,
        int ownInFlight,
        int otherRequests,
        int slots,
        WeightVersion version) {

    /**
     * Returns the load for each slot. This entry's own requests are known at once; those of others
     * are as old as the last report.
     *
     * @return 1.0 when all slots are taken
     */
    public double load() {
        return (double) (ownInFlight + otherRequests) / Math.max(1, slots);
    }
}
