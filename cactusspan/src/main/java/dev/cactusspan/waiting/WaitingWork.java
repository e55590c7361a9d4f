package dev.cactusspan.waiting;

/** Work that waits for a place at a target. */
public interface WaitingWork {

    /**
     * Tells whether the work still waits.
     *
     * @return false if it was ended, or waits for something else
     */
    boolean isWaiting();

    /**
     * Returns what the work requires of a target.
     *
     * @return a value that is equal for work which the same targets suit
     */
    Object needs();

    /**
     * Sends the work to a target that has a place for it.
     *
     * @return false if there is none
     */
    boolean place();
}
