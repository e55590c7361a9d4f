package dev.cactusspan.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

/** Tests how often a process reads the targets. */
final class RefreshIntervalTest {
    private static final long DRAIN_MS = 5_000;

    private final RefreshInterval mInterval = new RefreshInterval(DRAIN_MS);

    @Test
    void shouldReadOftenWhileItemsWait() {
        assertThat(mInterval.ms(false, 1, 3), is(200L));
        assertThat(mInterval.ms(true, 0, 0), is(200L));
    }

    @Test
    void shouldReadSeldomWithoutBatches() {
        assertThat(mInterval.ms(false, 1, 0), is(1_200L));
        assertThat(mInterval.ms(false, 0, 0), is(2_400L));
        assertThat(new RefreshInterval(2_500).ms(false, 0, 0), is(1_200L));
    }

    /** The change is known, read and acted on well before the bound. */
    @Test
    void shouldKnowOfALeavingTargetWithinHalfOfTheDrainTime() {
        assertThat(mInterval.ms(false, 0, 0), lessThan(DRAIN_MS / 2));
    }

    /**
     * Replays the start of a step: 13 targets load the weights four at a time, and each is idle
     * until the owner of the waiting items knows of it.
     */
    @Test
    void shouldLeaveFewTargetsIdleWhileAStepStarts() {
        assertThat(idleMs(mInterval.ms(false, 1, 60)), lessThan(idleMs(1_200) / 4));
    }

    /** Time that all targets together are idle, averaged over the moment of the first read. */
    private static long idleMs(long intervalMs) {
        long idleMs = 0;
        for (long firstReadMs = 0; firstReadMs < intervalMs; firstReadMs += 10) {
            for (int target = 0; target < 13; target++) {
                long loadedMs = 950L * (1 + target / 4) + 37L * target;
                idleMs += intervalMs - Math.floorMod(loadedMs - firstReadMs, intervalMs);
            }
        }
        return idleMs * 10 / intervalMs;
    }
}
