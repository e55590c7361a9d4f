package dev.cactusspan.intake;

import dev.cactusspan.result.Failure;
import java.util.Optional;

/** Decides whether a request is refused before its body is read. */
public interface DoorCheck {

    /**
     * What is known of a request before its body is read.
     *
     * @param isNewWork true unless it concerns work that was accepted before
     * @param bodyBytes length of its body, negative if unknown
     */
    record Arrival(boolean isNewWork, long bodyBytes) {}

    /**
     * Checks whether the next request is refused. Called on an I/O thread, so it neither waits nor
     * takes long.
     *
     * @param arrival the request
     * @return why it is refused, of a kind that proves that it has not run; empty to let it in
     */
    Optional<Failure> refuse(Arrival arrival);

    /**
     * Asks several checks in order until one refuses.
     *
     * @param checks the checks, cheapest first
     * @return a check that refuses what any of them refuses
     */
    static DoorCheck all(Iterable<DoorCheck> checks) {
        return arrival -> {
            for (DoorCheck check : checks) {
                Optional<Failure> failure = check.refuse(arrival);
                if (failure.isPresent()) {
                    return failure;
                }
            }
            return Optional.empty();
        };
    }
}
