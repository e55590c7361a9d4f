package dev.cactusspan.placement;

/**
 * Decides how long a process gathers changes of the targets before it reads them, as each read has
 * a cost and targets report all the time. Load pattern: a step of a trainer starts at the moment at
 * which new weights are rolled out; its owner has more items than slots, and each target that has
 * just loaded the weights is idle until the owner knows of it.
 */
public final class RefreshInterval {
    /** Interval of the process that sends orders, in milliseconds. */
    private static final long ORDERING_MS = 200;

    /** Interval while items wait for a target, in milliseconds. */
    private static final long WAITING_MS = 200;

    /** Interval of a process whose items all run, in milliseconds. */
    private static final long OWNER_MS = 1_200;

    /**
     * Interval of other processes, as a fraction of the time within which every process must stop
     * sending to a leaving target.
     */
    private static final double DRAIN_FRACTION = 0.48;

    private final long mDefaultMs;

    /**
     * Creates the decision.
     *
     * @param drainMs time within which no request reaches a target that is leaving, in milliseconds
     */
    public RefreshInterval(long drainMs) {
        mDefaultMs = Math.max(OWNER_MS, (long) (DRAIN_FRACTION * drainMs));
    }

    /**
     * Returns the interval.
     *
     * @param isOrdering whether this process sends orders to targets
     * @param openBatches number of batches that this process runs
     * @param waitingItems number of their items that wait for a target
     * @return milliseconds between reads
     */
    public long ms(boolean isOrdering, int openBatches, int waitingItems) {
        if (waitingItems > 0) {
            return WAITING_MS;
        }
        if (isOrdering) {
            return ORDERING_MS;
        }
        return openBatches > 0 ? OWNER_MS : mDefaultMs;
    }
}
