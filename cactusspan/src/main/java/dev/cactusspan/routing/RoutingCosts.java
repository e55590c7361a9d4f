package dev.cactusspan.routing;

/**
 * Costs that a router adds to the load of a target, in units of load (1.0 is a full target).
 *
 * @param zoneCost cost of a target in another availability zone of the region
 * @param regionCost cost of a target in another region
 * @param affinityGain reduction for the target that owns the prompt's prefix
 * @param affinityLoadCap load from which the reduction no longer applies
 */
public record RoutingCosts(
        double zoneCost, double regionCost, double affinityGain, double affinityLoadCap) {
    /** Costs for zones that are 1 ms apart and regions that are 20 ms apart. */
    public static final RoutingCosts STANDARD = new RoutingCosts(0.25, 1.0, 0.5, 0.8);
}
