package dev.cactusspan.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Learns the limit from the gradient of duration over load. Load patterns: targets of a service
 * slow down long before they are full, each at another load; a target turns slow for some seconds
 * and recovers.
 *
 * <p>While work takes more than {@link #TOLERANCE} times as long as it did at the same target under
 * less load, the limit falls in that proportion from the work that was in flight. While it does not
 * and the limit was used, the limit rises by one place per mean of a few units, so that a probe
 * that harms is taken back after a few units.
 */
public final class GradientLimit implements ConcurrencyLimit {
    /**
     * Slowdown that is accepted. A target that takes twice as long for twice the work yields the
     * same; beyond that more work at once yields less.
     */
    static final double TOLERANCE = 2;

    /** Largest fall at once. */
    private static final double MIN_GRADIENT = 0.5;

    /** Maximum number of kinds of work, beyond which further kinds are not measured. */
    private static final int MAX_KINDS = 64;

    private final Map<String, WorkPace> mPaces = new HashMap<>();
    private double mLimit = Double.POSITIVE_INFINITY;

    @Override
    public void record(String kind, double durationMs, int inFlight, long nowMs) {
        if (mPaces.size() >= MAX_KINDS && !mPaces.containsKey(kind)) {
            return;
        }
        WorkPace pace = mPaces.computeIfAbsent(kind, k -> new WorkPace());
        if (!pace.add(durationMs, inFlight)) {
            return;
        }
        double gradient = TOLERANCE / pace.slowdown(nowMs);
        if (gradient < 1) {
            double loaded = Math.min(mLimit, pace.maxInFlight());
            mLimit = Math.max(1, loaded * Math.max(MIN_GRADIENT, gradient));
        } else if (pace.maxInFlight() >= Math.floor(mLimit)) {
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
