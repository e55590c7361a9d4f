package dev.cactusspan.batch;

import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.id.TargetId;
import java.util.HashSet;
import java.util.Set;

/**
 * The targets at which one item failed. Load pattern: a target that fails part of its requests
 * finishes them sooner than the others, so it looks idle and attracts the same item again until the
 * item is given up. For a while after a failure the item is sent to other targets only; the time
 * doubles with each failure, so that an item whose targets all fail is not given up at once.
 */
final class FailedTargets {
    /** Time after the first failure during which only other targets are used, in milliseconds. */
    static final long BASE_EXCLUSION_MS = 400;

    private static final int MAX_DOUBLINGS = 3;

    private final Set<TargetId> mTargets = new HashSet<>();
    private long mExcludedUntilMs;

    /**
     * Records a failure.
     *
     * @param target the target that failed
     * @param nowMs monotonic clock in milliseconds
     */
    void add(TargetId target, long nowMs) {
        mExcludedUntilMs = nowMs + (BASE_EXCLUSION_MS << Math.min(MAX_DOUBLINGS, mTargets.size()));
        mTargets.add(target);
    }

    boolean isEmpty() {
        return mTargets.isEmpty();
    }

    /**
     * Tells whether the item may be sent to a target.
     *
     * @param target the target
     * @param nowMs monotonic clock in milliseconds
     * @return false for a short time after the item failed there
     */
    boolean allows(TargetState target, long nowMs) {
        return nowMs >= mExcludedUntilMs || !mTargets.contains(target.record().id());
    }
}
