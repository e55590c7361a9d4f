package dev.cactusspan.routing;

/**
 * What a router adds to the load of a target, in units of load (1.0 is a full target).
 *
 * @param zoneCost for a target in another availability zone of the region
 * @param regionCost for a target in another region
 * @param affinityGain taken off for the target that the prompt's prefix belongs to
 * @param affinityLoadCap load above which the prefix no longer counts
 */
public record RoutingCosts(
        double zoneCost, double regionCost, double affinityGain, double affinityLoadCap) {
    /** Costs for zones one millisecond and regions twenty milliseconds apart. */
    public static final RoutingCosts STANDARD = new RoutingCosts(0.25, 1.0, 0.5, 0.8);
}
