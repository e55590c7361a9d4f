package dev.cactusspan.scaling;

/**
 * Limits on the number of targets of a service in an availability zone.
 *
 * @param minTargets minimum number of targets
 * @param maxTargets maximum number of targets
 */
public record ScalingBounds(int minTargets, int maxTargets) {}
