package dev.cactusspan.capacity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Test;

/** Replays targets whose durations depend on their load or change. */
final class GradientLimitTest {
    private static final int SLOTS = 12;

    private final GradientLimit mLimit = new GradientLimit();
    private long mNowMs;

    /** Keeps as much work in flight as the limit allows, up to a demand, for a time. */
    private void load(int demand, long forMs, IntToDoubleFunction durationMs) {
        long endMs = mNowMs + forMs;
        while (mNowMs < endMs) {
            int inFlight = Math.min(demand, mLimit.places(SLOTS));
            double unitMs = durationMs.applyAsDouble(inFlight);
            for (int i = 0; i < inFlight; i++) {
                mLimit.record("a", unitMs, inFlight, mNowMs);
            }
            mNowMs += (long) unitMs;
        }
    }

    /** A target that slows down beyond 4 of its 12 places. */
    private static double kneeAtFour(int inFlight) {
        return inFlight <= 4 ? 20 : 20 * Math.pow(inFlight / 4.0, 2);
    }

    @Test
    void shouldTakeATargetByItsWordUntilWorkSlowsDown() {
        assertThat(mLimit.places(SLOTS), is(SLOTS));
        load(SLOTS, 5_000, n -> 20 + n);
        assertThat(mLimit.places(SLOTS), is(SLOTS));
    }

    @Test
    void shouldSeeATargetSlowDownLongBeforeItIsFull() {
        load(2, 1_000, GradientLimitTest::kneeAtFour);
        load(SLOTS, 3_000, GradientLimitTest::kneeAtFour);
        assertThat(mLimit.places(SLOTS), greaterThanOrEqualTo(3));
        assertThat(mLimit.places(SLOTS), lessThanOrEqualTo(6));
    }

    @Test
    void shouldFollowATargetThatTurnsSlowAndRecoversWithinSeconds() {
        load(6, 2_000, n -> 20);
        load(6, 1_500, n -> 80);
        assertThat(mLimit.places(SLOTS), lessThanOrEqualTo(2));
        load(6, 3_000, n -> 20);
        assertThat(mLimit.places(SLOTS), greaterThanOrEqualTo(6));
    }

    @Test
    void shouldRiseOnlyWhileTheLimitIsUsed() {
        load(6, 2_000, n -> 20);
        load(6, 1_500, n -> 80);
        recordIdle(WorkPace.UNITS);
        int fallen = mLimit.places(SLOTS);
        recordIdle(100);
        assertThat(mLimit.places(SLOTS), is(fallen));
    }

    /** Records units of work that another process loaded the target with. */
    private void recordIdle(int units) {
        for (int i = 0; i < units; i++) {
            mLimit.record("a", 20, 0, mNowMs);
        }
    }

    @Test
    void shouldNotTakeAKindOfLongWorkForASlowTarget() {
        for (int i = 0; i < 200; i++) {
            mLimit.record("lookups", 30, 6, i * 10L);
            mLimit.record("checks", 120, 6, i * 10L);
        }
        assertThat(mLimit.places(SLOTS), is(SLOTS));
    }

    @Test
    void shouldKeepOnePlaceToProbeWith() {
        load(1, 1_000, n -> 20);
        load(SLOTS, 40_000, n -> 2_000);
        assertThat(mLimit.places(SLOTS), is(1));
    }
}
