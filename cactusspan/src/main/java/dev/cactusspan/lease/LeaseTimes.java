package dev.cactusspan.lease;

/**
 * Times of a duty lease.
 *
 * @param ttlMs how long a renewal lasts, counted by the holder from before it was sent
 * @param renewMs interval of renewals
 * @param guardMs what a successor waits beyond the lease, for an order that is already on its way
 * @param marginMs what a holder keeps free at the end of its lease
 */
public record LeaseTimes(long ttlMs, long renewMs, long guardMs, long marginMs) {
    /** Times that a key-value service which answers within a second can keep. */
    public static final LeaseTimes STANDARD = new LeaseTimes(9_000, 3_000, 3_000, 1_000);
}
