package dev.cactusspan.lease;

import dev.cactusspan.id.DutyId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.FencingNumber;

/**
 * A duty lease as stored.
 *
 * @param holder names the start of the process that holds it, empty if it was released
 * @param fencing number of the holder; each new holder has a higher one
 * @param renewals how often the holder renewed it
 */
public record LeaseRecord(String holder, FencingNumber fencing, long renewals) {

    /** Before the first holder. */
    public static final LeaseRecord NONE = new LeaseRecord("", FencingNumber.NONE, 0);

    /**
     * Returns the key of a duty's lease.
     *
     * @param environment the environment
     * @param duty the duty
     * @return the key
     */
    public static String key(EnvironmentId environment, DutyId duty) {
        return "duties/" + environment + "/" + duty;
    }

    /**
     * Returns the record of a next holder.
     *
     * @param newHolder names the start of the process
     * @return the record
     */
    public LeaseRecord acquiredBy(String newHolder) {
        return new LeaseRecord(newHolder, fencing.next(), 0);
    }

    /**
     * Returns the renewed record.
     *
     * @return the record
     */
    public LeaseRecord renewed() {
        return new LeaseRecord(holder, fencing, renewals + 1);
    }

    /**
     * Returns the record without a holder.
     *
     * @return the record
     */
    public LeaseRecord released() {
        return new LeaseRecord("", fencing, renewals + 1);
    }

    /**
     * Tells whether nobody holds the lease.
     *
     * @return true if it is free
     */
    public boolean isFree() {
        return holder.isEmpty();
    }
}
