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
 * Follows one key of the key-value service with successive long polls. It delivers entries with
 * rising versions only, so a stale read has no effect.
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
     * Creates a watcher. It works while {@link #tick} is called regularly.
     *
     * @param keyValues the key-value service
     * @param key the key
     * @param thread the thread on which entries are delivered
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

    /** Starts the next watch if none is pending. It is called regularly on the thread. */
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
     * Accepts an entry from a watch or from another process, and delivers it if it is newer.
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
     * Records that another process had confirmed a version as the latest at a given time.
     *
     * @param version the version of the other process
     * @param confirmedMs time of the confirmation, on this process's monotonic clock
     */
    public void confirm(long version, long confirmedMs) {
        if (version == mVersion) {
            mConfirmedMs = Math.max(mConfirmedMs, confirmedMs);
        }
    }

    /**
     * Sets whether this watcher polls the service or relies on other processes.
     *
     * @param isActive true to poll
     */
    public void setActive(boolean isActive) {
        mIsActive = isActive;
    }

    // Accessors

    /**
     * Returns the age of the last confirmation.
     *
     * @return time since the version was confirmed as the latest, {@link Long#MAX_VALUE} if never
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
