package dev.cactusspan.scaling;

/**
 * Load of the targets of one service in one availability zone.
 *
 * @param targets number of serving targets
 * @param starting number of targets that have been ordered but are not serving yet
 * @param requests number of requests at the targets, including queued ones
 * @param slotsPerTarget number of requests that one target runs concurrently
 */
public record TargetDemand(int targets, int starting, int requests, int slotsPerTarget) {}
