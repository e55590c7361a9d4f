package dev.cactusspan.intake;

/** Bytes of a budget that one owner holds until it closes the hold. Thread-safe. */
public interface Hold extends AutoCloseable {
    /** A hold of no budget, for what the process itself creates. */
    Hold UNLIMITED =
            new Hold() {
                @Override
                public boolean resize(long bytes) {
                    return true;
                }

                @Override
                public long bytes() {
                    return 0;
                }

                @Override
                public void close() {}
            };

    /**
     * Changes how much is held. Less is always granted.
     *
     * @param bytes what is to be held from now on
     * @return false if the budget has no room, or the hold is closed; the hold is then unchanged
     */
    boolean resize(long bytes);

    /**
     * Returns what is held.
     *
     * @return the bytes
     */
    long bytes();

    /** Returns all bytes to the budget; later calls have no effect. */
    @Override
    void close();
}
