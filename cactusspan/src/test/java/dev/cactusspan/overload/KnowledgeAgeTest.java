package dev.cactusspan.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

/** Lets knowledge age with a fake clock, for a process that is behind and for a store that is. */
final class KnowledgeAgeTest {
    private static final long BOUND_MS = 4_000;
    private static final long STEP_MS = 50;

    private final KnowledgeAge mAge = new KnowledgeAge(BOUND_MS);
    private long mNowMs = 1_000_000;
    private long mKnownMs;

    /** Lets time pass in a process with a fixed delay. */
    private void pass(long ms, long delayMs, boolean isAnswered) {
        for (long i = 0; i < ms; i += STEP_MS) {
            mNowMs += STEP_MS;
            mAge.recordReadThrough(mNowMs - delayMs);
            mKnownMs = isAnswered ? mNowMs - delayMs : mKnownMs;
            mAge.recordMirror(mKnownMs, isAnswered, mNowMs);
        }
    }

    @Test
    void shouldNotActBeforeAnythingIsKnown() {
        assertThat(mAge.isCurrent(mNowMs), is(false));
    }

    @Test
    void shouldActWhileTheStoreIsQuiet() {
        pass(60_000, 20, true);
        assertThat(mAge.isCurrent(mNowMs), is(true));
        assertThat(mAge.ageMs(mNowMs), is(20L));
    }

    @Test
    void shouldNotActOnceTheProcessIsBehindByMoreThanTheBound() {
        pass(5_000, 20, true);
        mNowMs += BOUND_MS - 800;
        assertThat(mAge.isCurrent(mNowMs), is(true));
        mNowMs += 200;
        assertThat(mAge.isCurrent(mNowMs), is(false));
    }

    @Test
    void shouldNotActOnNewsThatLieUnreadWhileTheClockOfTheMirrorGoesOn() {
        pass(5_000, 20, true);
        // The mirror has news of its own time, but what arrived at this process is not read.
        for (int i = 0; i < 100; i++) {
            mNowMs += STEP_MS;
            mAge.recordMirror(mNowMs, true, mNowMs);
        }
        assertThat(mAge.isCurrent(mNowMs), is(false));
    }

    @Test
    void shouldActThroughAnOutageOfTheStoreWithoutAGap() {
        pass(5_000, 20, true);
        for (int i = 0; i < 400; i++) {
            pass(STEP_MS, 20, false);
            assertThat(mAge.isCurrent(mNowMs), is(true));
        }
    }

    @Test
    void shouldNotTakeItsOwnDelayForAnOutage() {
        pass(5_000, 20, true);
        // Calls time out, because their responses lie unread for a second.
        pass(20_000, 1_200, false);
        assertThat(mAge.isCurrent(mNowMs), is(false));
        assertThat(mAge.delayMs(mNowMs), lessThan(BOUND_MS));
    }

    @Test
    void shouldNotTakeTheTimeAfterItsOwnDelayForAnOutage() {
        pass(5_000, 20, true);
        pass(20_000, 1_200, false);
        // The process is prompt again; its next call is about to be answered.
        pass(600, 20, false);
        assertThat(mAge.isCurrent(mNowMs), is(false));
        pass(STEP_MS, 20, true);
        assertThat(mAge.isCurrent(mNowMs), is(true));
    }
}
