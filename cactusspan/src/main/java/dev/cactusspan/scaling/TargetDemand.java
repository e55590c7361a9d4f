package dev.cactusspan.scaling;

/**
 * Load of the targets of one service in one availability zone.
 *
 * @param targets targets that serve
 * @param starting targets that were ordered and do not serve yet
 * @param requests requests at the targets and in their queues
 * @param slotsPerTarget requests that one target takes at a time
 */
public record TargetDemand(int targets, int starting, int requests, int slotsPerTarget) {}
