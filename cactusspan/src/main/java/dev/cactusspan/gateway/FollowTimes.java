package dev.cactusspan.gateway;

/**
 * Times within which a process must follow what operators and targets write to the store.
 *
 * @param reconnectMs time until all changes are known again after the connection to the store is
 *     restored, in milliseconds
 * @param drainMs time within which no request reaches a target that is leaving, in milliseconds
 * @param evacuateMs time within which no request reaches a zone that is evacuated, in milliseconds;
 *     zero where zones are never evacuated
 */
record FollowTimes(long reconnectMs, long drainMs, long evacuateMs) {}
