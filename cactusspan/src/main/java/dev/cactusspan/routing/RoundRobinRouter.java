package dev.cactusspan.routing;

import java.util.List;
import java.util.Optional;

/** Selects targets in turn; the baseline that {@link CostRouter} is compared with. */
public final class RoundRobinRouter implements Router {
    private int mNext;

    @Override
    public Optional<Candidate> choose(List<Candidate> candidates, long affinity) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(candidates.get(Math.floorMod(mNext++, candidates.size())));
    }
}
