package dev.cactusspan.routing;

import java.util.List;
import java.util.Optional;

/** Chooses a target for a request. */
public interface Router {

    /**
     * Chooses a target.
     *
     * @param candidates targets that can take the request
     * @param affinity hash of the prompt's prefix, zero for none
     * @return the chosen target, empty if there is no candidate
     */
    Optional<Candidate> choose(List<Candidate> candidates, long affinity);
}
