package dev.cactusspan.config;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.routing.Backoff;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Follows one key of the key-value service with a chain of waiting watches. The version that it
 * hands on only rises, so that a stale read changes nothing.
 */
public final class KeyWatcher {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final long WAIT_MS = 2_000;

    private final KeyValueService mKeyValues;
    private final String mKey;
    private final Executor mThread;
    private final Backoff mBackoff;
    private final LongSupplier mNowMs;
    private final Consumer<KeyValueService.Entry> mOnEntry;
    private long mVersion;
    private long mConfirmedMs = Long.MIN_VALUE;
    private long mNextMs;
    private int mFailures;
    private boolean mIsWatchPending;
    private boolean mIsActive = true;

    /**
     * Creates a watcher; {@link #tick} drives it.
     *
     * @param keyValues the key-value service
     * @param key the key
     * @param thread the thread on which entries are handed on
     * @param backoff delays after failures
     * @param nowMs monotonic time
     * @param onEntry receives each newer entry
     */
    public KeyWatcher(
            KeyValueService keyValues,
            String key,
            Executor thread,
            Backoff backoff,
            LongSupplier nowMs,
            Consumer<KeyValueService.Entry> onEntry) {
        mKeyValues = keyValues;
        mKey = key;
        mThread = thread;
        mBackoff = backoff;
        mNowMs = nowMs;
        mOnEntry = onEntry;
    }

    // Operations

    /** Starts the next watch if none waits; called regularly on the thread. */
    public void tick() {
        if (!mIsActive || mIsWatchPending || mNowMs.getAsLong() < mNextMs) {
            return;
        }
        mIsWatchPending = true;
        long sentMs = mNowMs.getAsLong();
        long waitMs = mConfirmedMs == Long.MIN_VALUE ? 0 : WAIT_MS;
        FutureResults.deliver(
                mKeyValues.watch(mKey, mVersion, waitMs),
                mThread,
                r -> onWatchCompleted(r, sentMs));
    }

    private void onWatchCompleted(Result<Optional<KeyValueService.Entry>> result, long sentMs) {
        mIsWatchPending = false;
        result.fold(
                failure -> {
                    mFailures++;
                    mNextMs = mNowMs.getAsLong() + mBackoff.delayMs(mFailures);
                    sLog.atWarning().log("watch of %s failed: %s", mKey, failure);
                    return null;
                },
                entry -> {
                    mFailures = 0;
                    mConfirmedMs = Math.max(mConfirmedMs, sentMs);
                    entry.ifPresent(this::accept);
                    return null;
                });
    }

    /**
     * Takes an entry from a watch or from another process.
     *
     * @param entry the entry
     */
    public void accept(KeyValueService.Entry entry) {
        if (entry.version() > mVersion) {
            mVersion = entry.version();
            mOnEntry.accept(entry);
        }
    }

    /**
     * Notes that another process knew at a given time that there was nothing newer.
     *
     * @param version the version that it had
     * @param confirmedMs the time, on this process's clock
     */
    public void confirm(long version, long confirmedMs) {
        if (version == mVersion) {
            mConfirmedMs = Math.max(mConfirmedMs, confirmedMs);
        }
    }

    /**
     * Switches between watching and being told by others.
     *
     * @param isActive true to watch
     */
    public void setActive(boolean isActive) {
        mIsActive = isActive;
    }

    // Accessors

    /**
     * Returns the age of what is known.
     *
     * @return time since there was surely nothing newer, {@link Long#MAX_VALUE} if never known
     */
    public long ageMs() {
        if (mConfirmedMs == Long.MIN_VALUE) {
            return Long.MAX_VALUE;
        }
        return mNowMs.getAsLong() - mConfirmedMs;
    }

    /**
     * Returns the version of the last entry.
     *
     * @return the version, zero if there was none
     */
    public long version() {
        return mVersion;
    }
}
