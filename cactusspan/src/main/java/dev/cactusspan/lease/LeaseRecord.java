package dev.cactusspan.lease;

import dev.cactusspan.id.DutyId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.FencingNumber;

/**
 * Stored form of a duty lease.
 *
 * @param holder unique name of the run of the holding process, empty if the lease was released
 * @param fencing fencing number of the holder; each new holder has a higher one
 * @param renewals number of renewals by the holder
 */
public record LeaseRecord(String holder, FencingNumber fencing, long renewals) {

    /** Record before the first holder. */
    public static final LeaseRecord NONE = new LeaseRecord("", FencingNumber.NONE, 0);

    /**
     * Returns the key under which a duty's lease is stored.
     *
     * @param environment the environment
     * @param duty the duty
     * @return the key
     */
    public static String key(EnvironmentId environment, DutyId duty) {
        return "duties/" + environment + "/" + duty;
    }

    /**
     * Returns the record after acquisition by a new holder.
     *
     * @param newHolder unique name of the run of the process
     * @return the record
     */
    public LeaseRecord acquiredBy(String newHolder) {
        return new LeaseRecord(newHolder, fencing.next(), 0);
    }

    /**
     * Returns the record after a renewal.
     *
     * @return the record
     */
    public LeaseRecord renewed() {
        return new LeaseRecord(holder, fencing, renewals + 1);
    }

    /**
     * Returns the record after a release.
     *
     * @return the record
     */
    public LeaseRecord released() {
        return new LeaseRecord("", fencing, renewals + 1);
    }

    /**
     * Returns whether the lease has no holder.
     *
     * @return true if it is free
     */
    public boolean isFree() {
        return holder.isEmpty();
    }
}
