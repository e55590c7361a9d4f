package dev.cactusspan.scaling;

/**
 * Bounds on the number of targets of a service in an availability zone.
 *
 * @param minTargets targets at least
 * @param maxTargets targets at most
 */
public record ScalingBounds(int minTargets, int maxTargets) {}
