package dev.cactusspan.fleet;

import dev.cactusspan.routing.ZoneDistance;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Selects the target with the lowest expected cost. The cost is the sum of the load, multiplied by
 * the mean duration relative to the fastest target, a distance cost and a penalty for recent
 * errors. Ties are broken at random.
 */
public final class TargetChooser {
    /** Cost in units of load of another zone in the same region, about a millisecond away. */
    private static final double ZONE_COST = 0.05;

    /** Cost in units of load of another region, 20 ms away, where traffic is paid by volume. */
    private static final double REGION_COST = 0.6;

    /** High enough that an avoided target is selected only if there is no other. */
    private static final double AVOIDED_COST = 100;

    /**
     * Cost in units of load of an error rate of 1. With this value, a target that fails four
     * requests in ten costs more than one in another region.
     */
    private static final double ERROR_RATE_COST = 2;

    /**
     * Cost in units of load of each multiple of the fastest target's duration. With this value a
     * target that is four times as slow costs more than a fast one that is nearly full, even when
     * it has no load.
     */
    private static final double SLOWNESS_COST = 0.25;

    /** Maximum random cost, which breaks ties and is too small to outweigh any other cost. */
    private static final double MAX_JITTER_COST = 0.02;

    private final ZoneDistance.Map mDistances;
    private final SplittableRandom mRandom;

    /**
     * Creates a target chooser.
     *
     * @param distances distances from this process
     * @param random the source of randomness
     */
    public TargetChooser(ZoneDistance.Map distances, SplittableRandom random) {
        mDistances = distances;
        mRandom = random;
    }

    /**
     * Selects a target.
     *
     * @param candidates targets to select from
     * @param nowMs monotonic clock in milliseconds
     * @return the target with the lowest cost, empty if there is no candidate
     */
    public Optional<TargetState> choose(List<TargetState> candidates, long nowMs) {
        double fastestMs =
                candidates.stream()
                        .mapToDouble(TargetState::meanDurationMs)
                        .filter(ms -> ms > 0)
                        .min()
                        .orElse(0);
        TargetState best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (TargetState candidate : candidates) {
            double cost = cost(candidate, fastestMs, nowMs);
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private double cost(TargetState target, double fastestMs, long nowMs) {
        double slowness =
                target.meanDurationMs() == 0 || fastestMs == 0
                        ? 1
                        : Math.max(1, target.meanDurationMs() / fastestMs);
        double load = (target.inFlight() + 1.0) / target.places() * slowness;
        double distance =
                switch (mDistances.to(target.record().zone())) {
                    case SAME_ZONE -> 0;
                    case SAME_REGION -> ZONE_COST;
                    case OTHER_REGION -> REGION_COST;
                };
        double avoidance = target.isAvoided(nowMs) ? AVOIDED_COST : 0;
        double errors = ERROR_RATE_COST * target.errorRate(nowMs);
        double delay = SLOWNESS_COST * (slowness - 1);
        return load
                + delay
                + distance
                + avoidance
                + errors
                + MAX_JITTER_COST * mRandom.nextDouble();
    }
}
