package dev.cactusspan.batch;

import dev.cactusspan.time.WallClock;
import java.util.function.LongSupplier;

/**
 * Converts the time of day at which a batch was accepted into a time of the steady clock. Load
 * pattern: the time of day jumps while a batch runs, or differs between its former owner and this
 * one; an item must not be abandoned before its retention time, and may be abandoned later.
 */
final class BatchAge {
    /** Largest error of two times of day that is expected, in milliseconds. */
    static final long MAX_CLOCK_ERROR_MS = 15_000;

    private final LongSupplier mNowMs;
    private final WallClock mWallClock;

    BatchAge(LongSupplier nowMs, WallClock wallClock) {
        mNowMs = nowMs;
        mWallClock = wallClock;
    }

    /** Returns the time of acceptance of a batch that this process accepts now. */
    long acceptedNowMs() {
        return mNowMs.getAsLong();
    }

    /** Returns the latest time at which a batch of a former owner may have been accepted. */
    long acceptedMs(Batch batch) {
        long ageMs = mWallClock.wallMs() - batch.submittedWallMs() - MAX_CLOCK_ERROR_MS;
        return mNowMs.getAsLong() - Math.max(0, ageMs);
    }
}
