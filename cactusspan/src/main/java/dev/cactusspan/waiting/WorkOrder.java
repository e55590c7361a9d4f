package dev.cactusspan.waiting;

/**
 * What determines the place of work in a line.
 *
 * @param rank the rank that operators give it
 * @param need what its caller loses while it waits
 * @param flow whose it is
 * @param dueMs when it is due, milliseconds of the monotonic clock
 * @param position its position among the work that is due at the same time
 */
public record WorkOrder(Rank rank, Need need, Flow flow, long dueMs, int position) {}
