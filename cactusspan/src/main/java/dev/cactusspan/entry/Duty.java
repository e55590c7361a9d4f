package dev.cactusspan.entry;

import dev.cactusspan.id.DutyId;
import dev.cactusspan.id.FencingNumber;
import java.util.Optional;

/** Work that one entry at a time carries out. */
interface Duty {

    /**
     * Returns the duty's id.
     *
     * @return the id
     */
    DutyId id();

    /**
     * Goes on with the work; called regularly while the duty is held.
     *
     * @param held tells whether the duty is held at the moment of the call
     * @param nowMs monotonic time
     */
    void tick(Held held, long nowMs);

    /** Tells whether the duty is held. */
    interface Held {
        /**
         * Returns the fencing number.
         *
         * @return the number, empty if the duty is not surely held now
         */
        Optional<FencingNumber> fencingNumber();
    }
}
