package dev.cactusspan.intake;

import dev.cactusspan.result.Failure;
import java.util.Optional;

/** Decides whether a request is refused before its body is read. */
public interface DoorCheck {

    /**
     * Checks whether the next request is refused. Called on an I/O thread, so it neither waits nor
     * takes long.
     *
     * @param nowMs the steady clock in milliseconds
     * @return why it is refused, of a kind that proves that it has not run; empty to let it in
     */
    Optional<Failure> refuse(long nowMs);

    /**
     * Asks several checks in order until one refuses.
     *
     * @param checks the checks, cheapest first
     * @return a check that refuses what any of them refuses
     */
    static DoorCheck all(Iterable<DoorCheck> checks) {
        return nowMs -> {
            for (DoorCheck check : checks) {
                Optional<Failure> failure = check.refuse(nowMs);
                if (failure.isPresent()) {
                    return failure;
                }
            }
            return Optional.empty();
        };
    }
}
