package dev.cactusspan.batch;

import dev.cactusspan.id.ItemId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A batch that this process runs. */
final class OwnedBatch {
    private final Batch mBatch;
    private long mRevision;
    private final List<ItemRun> mRuns = new ArrayList<>();
    private final Map<String, Integer> mOpenByGroup = new HashMap<>();
    private final List<ItemResult> mListed = new ArrayList<>();
    private final List<ItemResult> mReady = new ArrayList<>();
    private final List<Waiter> mWaiters = new ArrayList<>();
    private boolean mIsGroupReady;
    private long mReadySinceMs;
    private boolean mIsAppending;
    private long mNextAppendMs;
    private int mAppendFailures;
    private boolean mIsEnded;
    private boolean mIsSaving;
    private long mSavedMs;
    private int mSavedEvents;

    OwnedBatch(StoredBatch stored, long revision) {
        mBatch = stored.batch();
        mRevision = revision;
        mListed.addAll(stored.results());
        Set<ItemId> listed = new HashSet<>();
        mListed.forEach(r -> listed.add(r.id()));
        Map<ItemId, ItemProgress> progress = new HashMap<>();
        stored.progress().forEach(p -> progress.put(p.id(), p));
        for (BatchItem item : DispatchOrder.of(mBatch)) {
            if (!listed.contains(item.id())) {
                ItemRun run = new ItemRun(item);
                Optional.ofNullable(progress.get(item.id())).ifPresent(run::restore);
                mRuns.add(run);
                mOpenByGroup.merge(item.group(), 1, Integer::sum);
            }
        }
    }

    /** A reader that waits for results. */
    record Waiter(int after, long untilMs, ResultsTaker taker) {}

    /** Takes results. */
    interface ResultsTaker {
        void take(ResultsView view);
    }

    // Results

    void finish(ItemRun run, ItemResult result, long nowMs) {
        mRuns.remove(run);
        if (mReady.isEmpty()) {
            mReadySinceMs = nowMs;
        }
        mReady.add(result);
        int open = mOpenByGroup.merge(run.item().group(), -1, Integer::sum);
        mIsGroupReady |= open == 0;
    }

    /** Tells whether an append is due: a group is whole, or results have waited long enough. */
    boolean isAppendDue(long nowMs, long gatherMs) {
        if (mIsAppending || mReady.isEmpty() || mIsEnded || nowMs < mNextAppendMs) {
            return false;
        }
        return mIsGroupReady || mRuns.isEmpty() || nowMs - mReadySinceMs >= gatherMs;
    }

    List<ItemResult> beginAppend() {
        mIsAppending = true;
        mIsGroupReady = false;
        return List.copyOf(mReady);
    }

    void appended(List<ItemResult> results) {
        mIsAppending = false;
        mAppendFailures = 0;
        mListed.addAll(results);
        mReady.removeAll(results);
        wake();
    }

    int appendFailed(long retryAtMs) {
        mIsAppending = false;
        mIsGroupReady = true;
        mNextAppendMs = retryAtMs;
        return ++mAppendFailures;
    }

    int appendFailures() {
        return mAppendFailures;
    }

    /** Takes over what the store has listed. */
    void reloaded(StoredBatch stored) {
        mIsAppending = false;
        Set<ItemId> listed = new HashSet<>();
        stored.results().forEach(r -> listed.add(r.id()));
        mListed.clear();
        mListed.addAll(stored.results());
        mReady.removeIf(r -> listed.contains(r.id()));
        wake();
    }

    // Progress

    /** Tells whether texts should be kept: they grew enough since they were kept last. */
    boolean isSaveDue(long nowMs, long everyMs, int minEvents) {
        return !mIsSaving
                && nowMs - mSavedMs >= everyMs
                && events() != mSavedEvents
                && mRuns.stream().anyMatch(run -> run.events() >= minEvents);
    }

    private int events() {
        return mRuns.stream().mapToInt(ItemRun::events).sum();
    }

    void beginSave(long nowMs) {
        mIsSaving = true;
        mSavedMs = nowMs;
        mSavedEvents = events();
    }

    void saved() {
        mIsSaving = false;
    }

    // Readers

    ResultsView view(int after) {
        return ResultsView.of(mBatch.items().size(), mListed, after);
    }

    void await(Waiter waiter) {
        mWaiters.add(waiter);
    }

    private void wake() {
        wake(Long.MIN_VALUE);
    }

    /** Answers readers whose results are there or whose time is up. */
    void wake(long nowMs) {
        List<Waiter> due = new ArrayList<>();
        mWaiters.removeIf(
                w -> {
                    boolean isDue = w.after() < mListed.size() || nowMs >= w.untilMs() || mIsEnded;
                    return isDue && due.add(w);
                });
        due.forEach(w -> w.taker().take(view(w.after())));
    }

    // State

    void ended(long revision) {
        mIsEnded = true;
        mRevision = revision;
        for (ItemRun run : mRuns) {
            run.apply(ItemEvent.END);
            run.breakOff();
        }
        mRuns.clear();
        wake();
    }

    /** Stops all runs without an end, as another process owns the batch. */
    void disowned() {
        mRuns.forEach(ItemRun::breakOff);
        mRuns.clear();
        mWaiters.forEach(w -> w.taker().take(view(w.after())));
        mWaiters.clear();
    }

    void owned(long revision) {
        mRevision = revision;
    }

    Optional<BatchItem> unlistedItem(ItemId id) {
        boolean isListed = mListed.stream().anyMatch(r -> r.id().equals(id));
        return isListed || mIsEnded
                ? Optional.empty()
                : mBatch.items().stream().filter(i -> i.id().equals(id)).findFirst();
    }

    Batch batch() {
        return mBatch;
    }

    long revision() {
        return mRevision;
    }

    List<ItemRun> runs() {
        return mRuns;
    }

    int listed() {
        return mListed.size();
    }

    boolean isEnded() {
        return mIsEnded;
    }

    boolean isDone() {
        return mIsEnded || (mRuns.isEmpty() && mReady.isEmpty());
    }
}
