package dev.cactusspan.entry;

import dev.cactusspan.id.DutyId;
import dev.cactusspan.id.FencingNumber;
import java.util.Optional;

/** A background task that one entry at a time runs, under a lease. */
interface Duty {

    /**
     * Returns the id of the duty.
     *
     * @return the id
     */
    DutyId id();

    /**
     * Continues the work; called regularly while the duty is held.
     *
     * @param held returns the fencing number while the duty is held
     * @param nowMs monotonic time in milliseconds
     */
    void tick(Held held, long nowMs);

    /** Checks whether the duty is held at the moment of a call. */
    interface Held {
        /**
         * Returns the fencing number if the duty is held.
         *
         * @return the number, empty if it is not certain that the duty is held now
         */
        Optional<FencingNumber> fencingNumber();
    }
}
