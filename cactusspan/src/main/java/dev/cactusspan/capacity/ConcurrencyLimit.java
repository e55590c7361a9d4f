package dev.cactusspan.capacity;

/** Limits how much work one process runs at one target at the same time. */
public interface ConcurrencyLimit {

    /**
     * Records how long a unit of work took: a request, or the interval between two events.
     *
     * @param kind kind of work; units of one kind take about as long as each other
     * @param durationMs its duration in milliseconds
     * @param inFlight work of this process at the target at the time
     * @param nowMs monotonic clock in milliseconds
     */
    void record(String kind, double durationMs, int inFlight, long nowMs);

    /**
     * Returns the limit.
     *
     * @param slots work that the target runs at once, by its own account
     * @return 1 to {@code slots}
     */
    int places(int slots);

    /**
     * Returns how long work of a kind takes here under little load, which the limit rests on.
     *
     * @param kind kind of work
     * @return milliseconds, zero if it is not measured
     */
    double usualMs(String kind);
}
