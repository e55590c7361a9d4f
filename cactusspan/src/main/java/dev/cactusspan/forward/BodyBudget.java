package dev.cactusspan.forward;

import dev.cactusspan.intake.HeldBody;
import dev.cactusspan.intake.Hold;
import dev.cactusspan.intake.MemoryBudget;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Limits the memory that the response bodies of all attempts take together. Load pattern: several
 * targets send bodies without end at the same time, or long ones for many clients; the largest body
 * is dropped first, so that the complete responses of other targets are not affected.
 */
final class BodyBudget {
    private final MemoryBudget mBudget;
    private final Set<Attempt> mAttempts = new LinkedHashSet<>();

    BodyBudget(MemoryBudget budget) {
        mBudget = budget;
    }

    /** Returns an empty body whose bytes are held in this budget. */
    HeldBody newBody() {
        return new HeldBody(mBudget.reserve(0).orElse(Hold.UNLIMITED));
    }

    /** Adds an attempt whose body may be dropped. */
    void add(Attempt attempt) {
        mAttempts.add(attempt);
    }

    /** Removes an attempt that holds no body any more. */
    void remove(Attempt attempt) {
        mAttempts.remove(attempt);
    }

    /** Adds bytes to a body, and drops the largest bodies until there is memory for them. */
    void append(Attempt attempt, byte[] data, RequestLog log) {
        while (!attempt.appendBody(data)) {
            Attempt largest = largest().orElse(attempt);
            log.dropped(
                    largest, "the buffered responses exceed " + mBudget.totalBytes() + " bytes");
            largest.dropBody();
        }
    }

    private Optional<Attempt> largest() {
        return mAttempts.stream().max(Comparator.comparingLong(Attempt::bodyBytes));
    }
}
