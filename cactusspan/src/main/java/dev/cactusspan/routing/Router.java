package dev.cactusspan.routing;

import java.util.List;
import java.util.Optional;

/** Selects a target for a request. */
public interface Router {

    /**
     * Selects a target.
     *
     * @param candidates targets that can accept the request
     * @param affinity hash of the prompt's prefix, zero for none
     * @return the selected target, empty if there is no candidate
     */
    Optional<Candidate> choose(List<Candidate> candidates, long affinity);
}
