package dev.cactusspan.batch;

import dev.cactusspan.id.ItemId;
import dev.cactusspan.observe.Decision;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A batch that this process owns and runs. */
final class OwnedBatch {

    /**
     * Time for which an ended batch is kept, in milliseconds: ends and last reads are repeated
     * within a few seconds.
     */
    private static final long ENDED_KEPT_MS = 5_000;

    /** Time after its acceptance for which a batch is read often, in milliseconds. */
    private static final long STATUS_MS = 120_000;

    private final Batch mBatch;
    private final long mAcceptedMs;
    private final long mWeightBytes;
    private long mRevision;
    private final List<ItemRun> mRuns = new ArrayList<>();
    private final Map<String, Integer> mUnfinishedByGroup = new HashMap<>();
    private final List<ItemResult> mListed = new ArrayList<>();
    private final List<ItemResult> mReady = new ArrayList<>();
    private final List<PendingRead> mPendingReads = new ArrayList<>();
    private boolean mIsGroupComplete;
    private long mReadySinceMs;
    private boolean mIsAppending;
    private boolean mIsAppendUnknown;
    private long mNextAppendMs;
    private int mAppendFailures;
    private boolean mIsEnded;
    private boolean mIsLost;
    private long mEndedMs;
    private boolean mIsSaving;
    private long mLastSaveMs;
    private int mLastSaveEventCount;

    /**
     * Creates the batch.
     *
     * @param stored what is known of it
     * @param revision revision of the owner key
     * @param acceptedMs when it was accepted, or later, in milliseconds of the steady clock
     */
    OwnedBatch(StoredBatch stored, long revision, long acceptedMs) {
        mBatch = stored.batch();
        mAcceptedMs = acceptedMs;
        mWeightBytes = BatchWeight.of(mBatch);
        mRevision = revision;
        mListed.addAll(stored.results());
        Set<ItemId> listed = new HashSet<>();
        mListed.forEach(r -> listed.add(r.id()));
        Map<ItemId, ItemProgress> progress = new HashMap<>();
        stored.progress().forEach(p -> progress.put(p.id(), p));
        for (DispatchOrder.Ordered ordered : DispatchOrder.of(mBatch)) {
            BatchItem item = ordered.item();
            if (!listed.contains(item.id())) {
                ItemRun run = new ItemRun(item, ordered.need(), mRuns.size());
                Optional.ofNullable(progress.get(item.id())).ifPresent(run::restore);
                mRuns.add(run);
                mUnfinishedByGroup.merge(item.group(), 1, Integer::sum);
            }
        }
    }

    /** A read that waits for further results. */
    record PendingRead(int after, long deadlineMs, ResultsReceiver receiver) {}

    /** Receives results. */
    interface ResultsReceiver {
        void accept(ResultsView view);
    }

    /** Returns the memory that the batch and its results take, in bytes. */
    long heldBytes() {
        return mWeightBytes + BatchWeight.of(mListed) + BatchWeight.of(mReady);
    }

    // Results

    /** Takes the result of a run, unless the run was stopped before. */
    void finish(ItemRun run, ItemResult result, long nowMs) {
        if (!mRuns.remove(run)) {
            return;
        }
        if (mReady.isEmpty()) {
            mReadySinceMs = nowMs;
        }
        mReady.add(result);
        mIsGroupComplete |= countFinished(run);
    }

    /** Returns whether no item of the run's group is unfinished any more. */
    private boolean countFinished(ItemRun run) {
        return mUnfinishedByGroup.merge(run.item().group(), -1, Integer::sum) == 0;
    }

    /** Gives an item up, so that it is listed without a text. */
    void abandon(ItemRun run, String reason, long nowMs) {
        run.apply(ItemEvent.GIVE_UP);
        run.cancelAttempt();
        Decision.of("item_given_up")
                .with("request", run.item().id().value())
                .with("batch", mBatch.id().value())
                .with("reason", reason)
                .info();
        finish(run, ItemResult.abandoned(run.item().id()), nowMs);
    }

    /** Tells whether an append is due: a group is complete, or results have waited long enough. */
    boolean isAppendDue(long nowMs, long maxGatherMs) {
        if (mIsAppending || mReady.isEmpty() || mIsEnded) {
            return false;
        }
        boolean isLast = mRuns.isEmpty() && mAppendFailures == 0;
        if (nowMs < mNextAppendMs && !isLast) {
            return false;
        }
        return mIsGroupComplete || mRuns.isEmpty() || nowMs - mReadySinceMs >= maxGatherMs;
    }

    /** Starts to append as many results as fit, in the order in which they became ready. */
    List<ItemResult> startAppend(int maxBytes) {
        mIsAppending = true;
        int count = 0;
        for (long bytes = 0; count < mReady.size(); count++) {
            bytes += mReady.get(count).text().getBytes(StandardCharsets.UTF_8).length;
            if (count > 0 && bytes > maxBytes) {
                break;
            }
        }
        // The rest is due at once.
        mIsGroupComplete = count < mReady.size();
        return List.copyOf(mReady.subList(0, count));
    }

    /**
     * Handles a successful append.
     *
     * @param results what was appended
     * @param nextMs before when only the last results are appended, in milliseconds
     */
    void onAppended(List<ItemResult> results, long nextMs) {
        mIsAppending = false;
        mNextAppendMs = nextMs;
        mIsAppendUnknown = false;
        mAppendFailures = 0;
        mListed.addAll(results);
        mReady.removeAll(results);
        completePendingReads();
    }

    /**
     * Handles a failed append.
     *
     * @param isUnknown true if it may have taken effect
     * @param retryAtMs when to try again, in milliseconds
     * @return number of failures in a row
     */
    int onAppendFailed(boolean isUnknown, long retryAtMs) {
        mIsAppending = false;
        mIsAppendUnknown |= isUnknown;
        mIsGroupComplete = true;
        mNextAppendMs = retryAtMs;
        return ++mAppendFailures;
    }

    int appendFailureCount() {
        return mAppendFailures;
    }

    /** Replaces the listed results with those in the store, and stops the runs of their items. */
    void onReloaded(StoredBatch stored) {
        mIsAppending = false;
        mIsAppendUnknown = false;
        Set<ItemId> listed = new HashSet<>();
        stored.results().forEach(r -> listed.add(r.id()));
        mListed.clear();
        mListed.addAll(stored.results());
        mReady.removeIf(r -> listed.contains(r.id()));
        List<ItemRun> stopped =
                mRuns.stream().filter(run -> listed.contains(run.item().id())).toList();
        mRuns.removeAll(stopped);
        for (ItemRun run : stopped) {
            countFinished(run);
            run.apply(ItemEvent.END);
            run.cancelAttempt();
        }
        completePendingReads();
    }

    // Progress

    /**
     * Tells whether progress should be saved: the interval has passed, there are new events, and at
     * least one text is long enough.
     */
    boolean isSaveDue(long nowMs, long intervalMs, int minEvents) {
        return !mIsSaving
                && nowMs - mLastSaveMs >= intervalMs
                && eventCount() != mLastSaveEventCount
                && mRuns.stream().anyMatch(run -> run.eventCount() >= minEvents);
    }

    private int eventCount() {
        return mRuns.stream().mapToInt(ItemRun::eventCount).sum();
    }

    void startSave(long nowMs) {
        mIsSaving = true;
        mLastSaveMs = nowMs;
        mLastSaveEventCount = eventCount();
    }

    void onSaved() {
        mIsSaving = false;
    }

    // Readers

    /**
     * Tells whether the store may hold results that this process has not listed, because the
     * outcome of an append is open. Another process may have read them there.
     */
    boolean mayBeIncomplete() {
        return mIsAppendUnknown || (mIsEnded && mIsAppending);
    }

    ResultsView view(int after) {
        return ResultsView.of(mBatch.items().size(), mListed, after);
    }

    void addPendingRead(PendingRead read) {
        mPendingReads.add(read);
    }

    private void completePendingReads() {
        completePendingReads(Long.MIN_VALUE);
    }

    /** Completes the reads that have results available or whose deadline has passed. */
    void completePendingReads(long nowMs) {
        List<PendingRead> due = new ArrayList<>();
        mPendingReads.removeIf(
                read -> {
                    boolean hasNews =
                            read.after() < mListed.size() || (mIsEnded && !mayBeIncomplete());
                    boolean isDue = hasNews || nowMs >= read.deadlineMs();
                    return isDue && due.add(read);
                });
        due.forEach(read -> read.receiver().accept(view(read.after())));
    }

    // State

    void onEnded(long revision, long nowMs) {
        mIsEnded = true;
        mEndedMs = nowMs;
        mRevision = revision;
        for (ItemRun run : mRuns) {
            run.apply(ItemEvent.END);
            run.cancelAttempt();
        }
        mRuns.clear();
        completePendingReads();
    }

    /**
     * Tells whether the batch may leave memory: it was ended a while ago, or all of it is listed
     * and it is neither run nor read often any more.
     */
    boolean mayLeave(long nowMs) {
        boolean isBusy = mIsAppending || mIsSaving || !mPendingReads.isEmpty();
        if (mIsEnded) {
            return !isBusy && nowMs - mEndedMs >= ENDED_KEPT_MS;
        }
        boolean isOld = remainingMs(nowMs) < 0 && nowMs - mAcceptedMs >= STATUS_MS;
        return !isBusy && !mIsAppendUnknown && isDone() && isOld;
    }

    /** Cancels all runs without ending them, because another process owns the batch. */
    void onOwnershipLost() {
        mIsLost = true;
        mRuns.forEach(ItemRun::cancelAttempt);
        mRuns.clear();
        mPendingReads.forEach(read -> read.receiver().accept(view(read.after())));
        mPendingReads.clear();
    }

    void setRevision(long revision) {
        mRevision = revision;
    }

    Optional<BatchItem> unlistedItem(ItemId id) {
        boolean isListed = mListed.stream().anyMatch(r -> r.id().equals(id));
        return isListed || mIsEnded
                ? Optional.empty()
                : mBatch.items().stream().filter(i -> i.id().equals(id)).findFirst();
    }

    /** Returns when the results are due, milliseconds of the monotonic clock. */
    long dueMs() {
        return mAcceptedMs + mBatch.dueMs();
    }

    /** Returns the time until items may be abandoned, in milliseconds; negative afterwards. */
    long remainingMs(long nowMs) {
        return mAcceptedMs + mBatch.retentionMs() - nowMs;
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

    /** Returns how many items wait for a target that generates their text. */
    int waitingCount() {
        return (int) mRuns.stream().filter(run -> run.state() == ItemState.WAITING).count();
    }

    int listedCount() {
        return mListed.size();
    }

    /** Tells whether this process runs the items. */
    boolean isRunning() {
        return !mIsEnded && !mIsLost;
    }

    boolean isEnded() {
        return mIsEnded;
    }

    /** Tells whether another process owns the batch. */
    boolean isLost() {
        return mIsLost;
    }

    boolean isDone() {
        return mIsEnded || (mRuns.isEmpty() && mReady.isEmpty());
    }
}
