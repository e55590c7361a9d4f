package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.TargetChooser;
import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.region.Residency;
import dev.cactusspan.routing.ZoneDistance;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests moves of runs while some targets are slow. */
final class MoveRuleTest {
    private static final int TARGETS = 12;
    private static final int SLOW_TARGETS = 4;
    private static final int SLOTS = 6;
    private static final long FAST_MS = 25;
    private static final long SLOW_MS = 100;

    private final TargetTable mTargets = new TargetTable();
    private final TargetChooser mChooser =
            new TargetChooser(zone -> ZoneDistance.SAME_ZONE, new SplittableRandom(5));

    private TargetState target(int i) {
        TargetId id = TargetId.of("t" + i);
        if (mTargets.find(id).isEmpty()) {
            mTargets.put(FakeTargets.record(id.value(), "lm", SLOTS, 1));
        }
        return mTargets.find(id).orElseThrow();
    }

    private List<TargetState> candidates() {
        return mTargets.serving(
                ServiceId.of("lm"), Residency.ANYWHERE, 0, t -> t.inFlight() < SLOTS);
    }

    @Test
    void shouldStayWithoutAKnownFasterTarget() {
        target(0);
        assertThat(MoveRule.fasterTargets(SLOW_MS, 0, candidates()), is(empty()));
        target(0).recordDuration(SLOW_MS - 20);
        assertThat(MoveRule.fasterTargets(SLOW_MS, 0, candidates()), is(empty()));
        target(0).recordDuration(1);
        target(1).recordDuration(FAST_MS);
        assertThat(MoveRule.fasterTargets(SLOW_MS, 0, candidates()).contains(target(1)), is(true));
        assertThat(MoveRule.fasterTargets(SLOW_MS, MoveRule.MAX_MOVES, candidates()), is(empty()));
        assertThat(MoveRule.fasterTargets(0, 0, candidates()), is(empty()));
    }

    /**
     * Replays four of twelve targets that turn slow while all are half full: their runs move one by
     * one, and none of them moves to another slow target.
     */
    @Test
    void shouldNotMoveRunsBetweenSlowTargets() {
        for (int i = 0; i < TARGETS; i++) {
            target(i).recordDuration(FAST_MS);
            for (int run = 0; run < SLOTS / 2; run++) {
                target(i).recordSent(0);
            }
        }
        for (int slow = 0; slow < SLOW_TARGETS; slow++) {
            target(slow).recordDuration(SLOW_MS);
        }
        List<TargetState> chosen = new ArrayList<>();
        for (int run = 0; run < SLOTS / 2; run++) {
            for (int slow = 0; slow < SLOW_TARGETS; slow++) {
                TargetState from = target(slow);
                from.recordSlow(SLOW_MS);
                from.recordEnded();
                TargetState to =
                        mChooser.choose(MoveRule.fasterTargets(SLOW_MS, 0, candidates()), 0)
                                .orElseThrow();
                to.recordSent(0);
                chosen.add(to);
            }
        }
        long stillSlow = chosen.stream().filter(t -> t.meanDurationMs() > FAST_MS).count();
        assertThat(stillSlow, is(0L));
    }

    /** New work goes to a slow target without load only when the fast ones are full. */
    @Test
    void shouldFillFastTargetsBeforeAnIdleSlowOne() {
        target(0).recordDuration(FAST_MS);
        target(1).recordDuration(FAST_MS);
        target(1).recordSlow(SLOW_MS);
        int before = 0;
        while (mChooser.choose(candidates(), 0).orElseThrow() == target(0)) {
            target(0).recordSent(0);
            before++;
        }
        assertThat(before, greaterThanOrEqualTo(SLOTS));
    }
}
