package dev.cactusspan.store;

import dev.cactusspan.observe.Decision;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.routing.Backoff;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Mirrors all keys of the store with a prefix. It reads the keys page by page, watches them from
 * the first page's revision on, and lists them again when the store no longer has the history.
 * While the store is reached only through another process, it lists them at intervals instead. An
 * item never reverts to an older revision. All methods are called on one thread.
 */
public final class PrefixMirror {

    /**
     * Part of the time after which a process must be reconnected that is left for the slack of a
     * call and a back-off delay, in milliseconds.
     */
    private static final long RECONNECT_RESERVE_MS = 1_400;

    private static final long MIN_WATCH_MS = 500;

    /**
     * Time within which a change that is older than a watch reaches the watch, in milliseconds: 60
     * times the usual 4 ms of the store, and the way between regions.
     */
    private static final long RESPONSE_MS = 300;

    /**
     * Minimum interval between lists while the store is reached only through another process, in
     * milliseconds.
     */
    private static final long POLL_MS = 500;

    /**
     * Default delay after a change, in milliseconds, so that changes in quick succession share a
     * call.
     */
    private static final long DEFAULT_GATHER_MS = 150;

    private final KeyStore mStore;
    private final String mPrefix;
    private final Executor mThread;
    private final Backoff mBackoff;
    private final long mWatchMs;
    private final LongSupplier mNowMs;
    private final Listener mListener;
    private final Map<String, StoredItem> mItems = new HashMap<>();
    private final Map<String, Long> mRemovedAt = new HashMap<>();
    private State mState = State.LISTING;
    private boolean mIsBusy;
    private boolean mIsLoaded;
    private long mGatherMs = DEFAULT_GATHER_MS;
    private long mNextMs;
    private long mChangedMs = Long.MIN_VALUE / 2;
    private int mFailures;
    private long mAsOf;
    private long mCallStartedMs;
    private long mListStartedMs;
    private long mKnownMs = Long.MIN_VALUE / 2;
    private long mConfirmedMs = Long.MIN_VALUE / 2;
    private long mRecoveredMs = Long.MIN_VALUE / 2;
    private String mPageAfter = "";
    private final Set<String> mListedKeys = new HashSet<>();

    /**
     * Creates a mirror; {@link #tick} drives it.
     *
     * @param store the store
     * @param prefix the prefix
     * @param thread runs the callbacks; all methods are called on its thread
     * @param backoff delays after failures
     * @param reconnectMs time within which changes must be known again after the connection to the
     *     store is restored, in milliseconds; a watch that was started before may hang for its full
     *     time, so its wait is shorter
     * @param nowMs monotonic clock in milliseconds
     * @param listener receives changes
     */
    public PrefixMirror(
            KeyStore store,
            String prefix,
            Executor thread,
            Backoff backoff,
            long reconnectMs,
            LongSupplier nowMs,
            Listener listener) {
        mStore = store;
        mPrefix = prefix;
        mThread = thread;
        mBackoff = backoff;
        mWatchMs = Math.max(MIN_WATCH_MS, reconnectMs - RECONNECT_RESERVE_MS);
        mNowMs = nowMs;
        mListener = listener;
    }

    /** Receives changes of the mirror. */
    public interface Listener {
        /**
         * Called when an item was written or removed.
         *
         * @param key its key
         * @param item the new item, empty if it was removed
         */
        void onChange(String key, Optional<StoredItem> item);
    }

    private enum State {
        LISTING,
        WATCHING
    }

    // Operations

    /** Starts the next call, if one is due. */
    public void tick() {
        long nowMs = mNowMs.getAsLong();
        if (mIsBusy || nowMs < mNextMs || nowMs < mChangedMs + mGatherMs) {
            return;
        }
        if (mState == State.WATCHING && !mStore.isDirect()) {
            mState = State.LISTING;
        }
        mIsBusy = true;
        mCallStartedMs = nowMs;
        if (mState == State.LISTING) {
            mListStartedMs = mPageAfter.isEmpty() ? nowMs : mListStartedMs;
            FutureResults.deliver(
                    mStore.range(mPrefix, mPageAfter),
                    mThread,
                    result -> result.fold(this::failed, this::listed));
            return;
        }
        FutureResults.deliver(
                mStore.watch(mPrefix, mAsOf, mWatchMs),
                mThread,
                result -> result.fold(this::failed, this::changed));
    }

    /**
     * Sets how long changes are batched, as each response of the store has a cost. It takes effect
     * at once.
     *
     * @param gatherMs delay after a response with changes, in milliseconds
     */
    public void setGatherMs(long gatherMs) {
        mGatherMs = gatherMs;
    }

    /**
     * Records that everything that had arrived from the store at a time has been handled. A watch
     * that waits at that time has then seen all earlier changes.
     *
     * @param atMs the time, on the monotonic clock in milliseconds
     */
    public void recordReadThrough(long atMs) {
        boolean isWatching = mIsBusy && mState == State.WATCHING;
        if (isWatching && mCallStartedMs <= atMs - RESPONSE_MS) {
            mKnownMs = Math.max(mKnownMs, atMs - RESPONSE_MS);
        }
    }

    private Void listed(KeyStore.Page page) {
        succeeded();
        if (mPageAfter.isEmpty()) {
            mListedKeys.clear();
            mAsOf = page.asOf();
        }
        for (StoredItem item : page.items()) {
            mListedKeys.add(item.key());
            put(item);
            mPageAfter = item.key();
        }
        if (page.hasMore() && !page.items().isEmpty()) {
            return null;
        }
        List<String> removed = new ArrayList<>(mItems.keySet());
        removed.removeIf(key -> mListedKeys.contains(key) || mItems.get(key).revision() > mAsOf);
        removed.forEach(key -> remove(key, mAsOf));
        mPageAfter = "";
        mState = State.WATCHING;
        mKnownMs = Math.max(mKnownMs, mListStartedMs);
        if (!mStore.isDirect()) {
            mNextMs = mNowMs.getAsLong() + Math.max(POLL_MS, mGatherMs);
        }
        mIsLoaded = true;
        Decision.of("mirror_loaded")
                .with("prefix", mPrefix)
                .with("items", mItems.size())
                .with("as_of", mAsOf)
                .info();
        return null;
    }

    private Void changed(KeyStore.Changes changes) {
        succeeded();
        mKnownMs = Math.max(mKnownMs, mCallStartedMs);
        for (KeyStore.Change change : changes.changes()) {
            change.item().ifPresentOrElse(this::put, () -> remove(change.key(), change.revision()));
        }
        mAsOf = Math.max(mAsOf, changes.asOf());
        if (!changes.changes().isEmpty()) {
            mChangedMs = mNowMs.getAsLong();
        }
        return null;
    }

    private void put(StoredItem item) {
        StoredItem current = mItems.get(item.key());
        long newest =
                current == null ? mRemovedAt.getOrDefault(item.key(), 0L) : current.revision();
        if (item.revision() <= newest) {
            return;
        }
        mItems.put(item.key(), item);
        mRemovedAt.remove(item.key());
        notifyListener(item.key(), item.revision(), Optional.of(item));
    }

    private void remove(String key, long revision) {
        StoredItem current = mItems.get(key);
        if (current == null || current.revision() > revision) {
            return;
        }
        mItems.remove(key);
        mRemovedAt.put(key, revision);
        notifyListener(key, revision, Optional.empty());
    }

    /**
     * Passes a change on. Other writers may write what a listener cannot take; the items behind it
     * are followed all the same.
     */
    private void notifyListener(String key, long revision, Optional<StoredItem> item) {
        try {
            mListener.onChange(key, item);
        } catch (RuntimeException e) {
            Decision.of("item_not_taken")
                    .with("key", key)
                    .with("revision", revision)
                    .with("reason", e.toString())
                    .warn();
        }
    }

    private void succeeded() {
        long nowMs = mNowMs.getAsLong();
        if (mFailures > 0) {
            mRecoveredMs = nowMs;
            Decision.of("store_regained").with("prefix", mPrefix).info();
        }
        mIsBusy = false;
        mFailures = 0;
        mNextMs = nowMs;
        mConfirmedMs = nowMs;
    }

    private Void failed(Failure failure) {
        mIsBusy = false;
        if (failure.kind() == ErrorKind.CONFLICT) {
            Decision.of("history_gone").with("prefix", mPrefix).with("as_of", mAsOf).info();
            mState = State.LISTING;
            mPageAfter = "";
            return null;
        }
        // An interrupted watch may mean that the history is lost, and the next watch might then
        // hang without reporting it.
        mState = State.LISTING;
        mPageAfter = "";
        if (mFailures++ == 0) {
            Decision.of("store_lost")
                    .with("prefix", mPrefix)
                    .with("reason", failure.detail())
                    .warn();
        }
        mNextMs = mNowMs.getAsLong() + mBackoff.delayMs(mFailures);
        return null;
    }

    // Accessors

    /**
     * Returns the items.
     *
     * @return items by key
     */
    public Map<String, StoredItem> items() {
        return mItems;
    }

    /**
     * Returns whether all keys have been read once.
     *
     * @return true once the mirror is complete
     */
    public boolean isLoaded() {
        return mIsLoaded;
    }

    /**
     * Returns whether the last call succeeded.
     *
     * @return false while the mirror is incomplete or the store fails
     */
    public boolean isHealthy() {
        return mIsLoaded && mFailures == 0;
    }

    /**
     * Returns the time of the last response of the store.
     *
     * @return monotonic clock in milliseconds
     */
    public long confirmedMs() {
        return mConfirmedMs;
    }

    /**
     * Returns the latest time at which the items were certainly those of the store.
     *
     * @return monotonic clock in milliseconds, far in the past before the first complete list
     */
    public long knownMs() {
        return mKnownMs;
    }

    /**
     * Returns the time of the first response after the last series of failures.
     *
     * @return monotonic clock in milliseconds, far in the past if the store never failed
     */
    public long recoveredMs() {
        return mRecoveredMs;
    }
}
