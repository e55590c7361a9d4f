package dev.cactusspan.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Selects the cheapest of a few sampled targets: two drawn at random from the nearest distance
 * class that has any, two drawn from all targets, and the owner of the prompt's prefix. The cost is
 * the load plus the distance cost, less the gain of a cached prefix unless the owner is overloaded.
 * Random sampling prevents entries with the same delayed reports from all choosing the same target.
 */
public final class CostRouter implements Router {
    private static final int SAMPLES = 2;

    private final RoutingCosts mCosts;
    private final ZoneDistance.Map mDistances;
    private final SplittableRandom mRandom;

    /**
     * Creates a router.
     *
     * @param costs costs of distance and gain of a cached prefix
     * @param distances distances from this process
     * @param random the source of randomness
     */
    public CostRouter(RoutingCosts costs, ZoneDistance.Map distances, SplittableRandom random) {
        mCosts = costs;
        mDistances = distances;
        mRandom = random;
    }

    @Override
    public Optional<Candidate> choose(List<Candidate> candidates, long affinity) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Optional<Candidate> owner = affinity == 0 ? Optional.empty() : owner(candidates, affinity);
        List<Candidate> sampled = new ArrayList<>();
        sample(nearest(candidates), sampled);
        sample(candidates, sampled);
        owner.ifPresent(sampled::add);
        Candidate best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (Candidate candidate : sampled) {
            double cost = cost(candidate, owner);
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private void sample(List<Candidate> source, List<Candidate> sampled) {
        for (int i = 0; i < SAMPLES; i++) {
            sampled.add(source.get(mRandom.nextInt(source.size())));
        }
    }

    private List<Candidate> nearest(List<Candidate> candidates) {
        for (ZoneDistance distance : ZoneDistance.values()) {
            List<Candidate> near =
                    candidates.stream().filter(c -> mDistances.to(c.zone()) == distance).toList();
            if (!near.isEmpty()) {
                return near;
            }
        }
        return candidates;
    }

    private double cost(Candidate candidate, Optional<Candidate> owner) {
        double distanceCost =
                switch (mDistances.to(candidate.zone())) {
                    case SAME_ZONE -> 0;
                    case SAME_REGION -> mCosts.zoneCost();
                    case OTHER_REGION -> mCosts.regionCost();
                };
        boolean isOwner = owner.isPresent() && owner.get().target().equals(candidate.target());
        boolean isCached = isOwner && candidate.load() < mCosts.affinityLoadCap();
        return candidate.load() + distanceCost - (isCached ? mCosts.affinityGain() : 0);
    }

    /** Returns the owner of a prefix by rendezvous hashing. */
    private static Optional<Candidate> owner(List<Candidate> candidates, long affinity) {
        return candidates.stream().max(Comparator.comparingLong(c -> score(c, affinity)));
    }

    private static long score(Candidate candidate, long affinity) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(affinity)
                .putString(candidate.target().value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
