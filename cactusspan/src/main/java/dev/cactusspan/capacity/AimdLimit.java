package dev.cactusspan.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Raises the limit by one place while work is not much slower, and halves it when it is. */
public final class AimdLimit implements ConcurrencyLimit {
    private static final double TOLERANCE = 2;
    private static final double DECREASE = 0.5;

    private final Map<String, WorkPace> mPaces = new HashMap<>();
    private double mLimit = Double.POSITIVE_INFINITY;

    @Override
    public void record(String kind, double durationMs, int inFlight, long nowMs) {
        WorkPace pace = mPaces.computeIfAbsent(kind, k -> new WorkPace());
        if (!pace.add(durationMs, inFlight)) {
            return;
        }
        if (pace.slowdown(nowMs) > TOLERANCE) {
            mLimit = Math.max(1, Math.min(mLimit, pace.maxInFlight()) * DECREASE);
        } else {
            mLimit++;
        }
    }

    @Override
    public int places(int slots) {
        mLimit = mLimit >= slots ? Double.POSITIVE_INFINITY : mLimit;
        return (int) Math.min(slots, mLimit);
    }

    @Override
    public double usualMs(String kind) {
        return Optional.ofNullable(mPaces.get(kind)).map(WorkPace::usualMs).orElse(0.0);
    }
}
