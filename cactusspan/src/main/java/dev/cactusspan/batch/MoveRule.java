package dev.cactusspan.batch;

import dev.cactusspan.fleet.TargetState;
import java.util.List;

/**
 * Decides whether a run moves from a slow target to another one. Load pattern: several targets turn
 * slow at the same time and lose their runs, so that they are the ones with most free slots; a run
 * that moves to any of them is moved again and again, and stays at the last one when it may move no
 * more. It moves only to a target that is known to be faster.
 */
final class MoveRule {
    /**
     * A run is moved only to a target that is faster by this factor, as the new target must process
     * the text so far again.
     */
    static final double SLOW_RATIO = 1.8;

    /** Maximum moves of one run, so that it does not alternate between targets. */
    static final int MAX_MOVES = 6;

    private MoveRule() {}

    /**
     * Returns the targets that a run should move to.
     *
     * @param eventIntervalMs time between its events in milliseconds, zero if unknown
     * @param moves how often it has moved
     * @param candidates targets with free slots
     * @return the targets that are known to be much faster, empty if it should stay
     */
    static List<TargetState> fasterTargets(
            long eventIntervalMs, int moves, List<TargetState> candidates) {
        if (eventIntervalMs <= 0 || moves >= MAX_MOVES) {
            return List.of();
        }
        return candidates.stream()
                .filter(t -> t.meanDurationMs() > 0)
                .filter(t -> t.meanDurationMs() * SLOW_RATIO < eventIntervalMs)
                .toList();
    }
}
