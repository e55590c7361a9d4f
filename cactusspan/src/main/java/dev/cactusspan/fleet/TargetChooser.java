package dev.cactusspan.fleet;

import dev.cactusspan.routing.ZoneDistance;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Chooses the target with the least expected cost: its load, weighed by its pace against the
 * fastest one's, the price of the distance, and what it failed of late. Equal ones are drawn at
 * random.
 */
public final class TargetChooser {
    /** Load that a shorter way outweighs: zones about a millisecond apart. */
    private static final double ZONE_COST = 0.05;

    /** Load that a shorter way outweighs: regions 20 ms apart, paid by volume. */
    private static final double REGION_COST = 0.6;

    /** A target that failed is taken only if there is no other. */
    private static final double AVOIDED_COST = 100;

    /**
     * Load that trouble outweighs: a target that fails four requests in ten costs more than one a
     * region away.
     */
    private static final double TROUBLE_COST = 2;

    /** Breaks ties without outweighing anything. */
    private static final double NOISE = 0.02;

    private final ZoneDistance.Map mDistances;
    private final SplittableRandom mRandom;

    /**
     * Creates a chooser.
     *
     * @param distances distances from this process
     * @param random the source of randomness
     */
    public TargetChooser(ZoneDistance.Map distances, SplittableRandom random) {
        mDistances = distances;
        mRandom = random;
    }

    /**
     * Chooses a target.
     *
     * @param candidates the targets to choose from
     * @param nowMs steady clock in milliseconds
     * @return the cheapest, empty if there is no candidate
     */
    public Optional<TargetState> choose(List<TargetState> candidates, long nowMs) {
        double fastestMs =
                candidates.stream()
                        .mapToDouble(TargetState::meanDurationMs)
                        .filter(p -> p > 0)
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
        double load = (target.inFlight() + 1.0) / target.record().slots() * slowness;
        double distance =
                switch (mDistances.to(target.record().zone())) {
                    case SAME_ZONE -> 0;
                    case SAME_REGION -> ZONE_COST;
                    case OTHER_REGION -> REGION_COST;
                };
        double avoided = target.isAvoided(nowMs) ? AVOIDED_COST : 0;
        double trouble = TROUBLE_COST * target.errorRate(nowMs);
        return load + distance + avoided + trouble + NOISE * mRandom.nextDouble();
    }
}
