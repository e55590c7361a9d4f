package dev.cactusspan.capacity;

/** Takes a target by its word. */
public final class FixedLimit implements ConcurrencyLimit {
    @Override
    public void record(String kind, double durationMs, int inFlight, long nowMs) {
        // The limit does not depend on durations.
    }

    @Override
    public int places(int slots) {
        return slots;
    }

    @Override
    public double usualMs(String kind) {
        return 0;
    }
}
