package dev.cactusspan.lease;

/**
 * Times of a duty lease.
 *
 * @param ttlMs validity of a renewal, counted by the holder from before the renewal was sent
 * @param renewMs interval between renewals
 * @param guardMs time that a successor waits beyond the lease for orders in flight
 * @param marginMs time at the end of the lease during which the holder no longer acts
 */
public record LeaseTimes(long ttlMs, long renewMs, long guardMs, long marginMs) {
    /** Times that suit a key-value service that responds within a second. */
    public static final LeaseTimes STANDARD = new LeaseTimes(9_000, 3_000, 3_000, 1_000);
}
