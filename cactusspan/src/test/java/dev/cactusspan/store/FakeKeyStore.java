package dev.cactusspan.store;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** An in-memory store that can fail, lose responses, drop its history and expire leases. */
public final class FakeKeyStore implements KeyStore {
    private static final int PAGE_ITEMS = 3;

    /** Time allowed to a watch beyond its requested wait, in milliseconds. */
    private static final long WATCH_SLACK_MS = 800;

    private final ManualThread mThread;
    private final TreeMap<String, StoredItem> mItems = new TreeMap<>();
    private final List<Change> mHistory = new ArrayList<>();
    private final Map<Long, Long> mLeaseUntilMs = new HashMap<>();
    private final Map<Long, Long> mLeaseTtlMs = new HashMap<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private Random mRandom = new Random(0);
    private double mLossRate;
    private double mRefusalRate;
    private boolean mIsDown;
    private long mRevision = 7;
    private long mHistoryFrom = 7;
    private int mCalls;
    private long mLongestWaitMs;
    private boolean mHangsOnLostHistory;
    private boolean mIsDirect = true;

    public FakeKeyStore(ManualThread thread) {
        mThread = thread;
    }

    private record Watch(
            String prefix, long after, long untilMs, CompletableFuture<Result<Changes>> future) {}

    // Faults

    public void setFaults(Random random, double lossRate, double refusalRate) {
        mRandom = random;
        mLossRate = lossRate;
        mRefusalRate = refusalRate;
    }

    public void setDown(boolean isDown) {
        mIsDown = isDown;
    }

    public void dropHistory() {
        mHistory.clear();
        mHistoryFrom = mRevision;
        failWatches();
    }

    /** Makes a watch whose history was dropped hang until its time-out instead of failing. */
    public void hangWatchesOnLostHistory() {
        mHangsOnLostHistory = true;
    }

    private void failWatches() {
        List<Watch> failed = new ArrayList<>(mWatches);
        mWatches.clear();
        failed.forEach(
                w -> w.future().complete(Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, "cut")));
    }

    /** Serves calls through another process; watches hang until their time-out. */
    public void setDirect(boolean isDirect) {
        mIsDirect = isDirect;
        if (!isDirect) {
            mWatches.replaceAll(
                    w -> new Watch("none", w.after(), w.untilMs() + WATCH_SLACK_MS, w.future()));
        }
    }

    @Override
    public boolean isDirect() {
        return mIsDirect;
    }

    public void expireLease(long lease) {
        mLeaseUntilMs.put(lease, 0L);
        step();
    }

    /** Ends leases that are due and completes watches that are due or have changes. */
    public void step() {
        List<Long> ended = new ArrayList<>();
        mLeaseUntilMs.forEach(
                (lease, untilMs) -> {
                    if (mThread.nowMs() >= untilMs) {
                        ended.add(lease);
                    }
                });
        ended.forEach(this::removeLease);
        for (Watch watch : new ArrayList<>(mWatches)) {
            List<Change> changes = since(watch.prefix(), watch.after());
            if (!changes.isEmpty() || mThread.nowMs() >= watch.untilMs()) {
                mWatches.remove(watch);
                watch.future().complete(Result.of(new Changes(changes, mRevision)));
            }
        }
    }

    private void removeLease(long lease) {
        mLeaseUntilMs.remove(lease);
        for (StoredItem item : new ArrayList<>(mItems.values())) {
            if (item.lease() == lease) {
                mRevision++;
                mItems.remove(item.key());
                mHistory.add(new Change(item.key(), Optional.empty(), mRevision));
            }
        }
    }

    // Operators and targets

    public long put(String key, byte[] value) {
        mRevision++;
        StoredItem item = new StoredItem(key, value, mRevision, 0);
        mItems.put(key, item);
        mHistory.add(new Change(key, Optional.of(item), mRevision));
        return mRevision;
    }

    public void delete(String key) {
        mRevision++;
        mItems.remove(key);
        mHistory.add(new Change(key, Optional.empty(), mRevision));
    }

    public Map<String, StoredItem> items() {
        return mItems;
    }

    public long longestWaitMs() {
        return mLongestWaitMs;
    }

    public int calls() {
        return mCalls;
    }

    // The store

    private <T> Optional<CompletableFuture<Result<T>>> refused() {
        mCalls++;
        boolean isRefused = mIsDown || mRandom.nextDouble() < mRefusalRate;
        return isRefused
                ? Optional.of(done(Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, "503")))
                : Optional.empty();
    }

    private static <T> CompletableFuture<Result<T>> done(Result<T> result) {
        return CompletableFuture.completedFuture(result);
    }

    private <T> CompletableFuture<Result<T>> effect(Result<T> result) {
        boolean isLost = mRandom.nextDouble() < mLossRate;
        return done(isLost ? Result.fail(ErrorKind.OUTCOME_UNKNOWN, "lost") : result);
    }

    @Override
    public CompletableFuture<Result<Optional<StoredItem>>> get(String key) {
        Optional<CompletableFuture<Result<Optional<StoredItem>>>> refused = refused();
        return refused.orElseGet(() -> done(Result.of(Optional.ofNullable(mItems.get(key)))));
    }

    @Override
    public CompletableFuture<Result<Page>> range(String prefix, String after) {
        Optional<CompletableFuture<Result<Page>>> refused = refused();
        if (refused.isPresent()) {
            return refused.get();
        }
        List<StoredItem> items =
                mItems.values().stream()
                        .filter(i -> i.key().startsWith(prefix) && i.key().compareTo(after) > 0)
                        .toList();
        boolean hasMore = items.size() > PAGE_ITEMS;
        List<StoredItem> page = hasMore ? items.subList(0, PAGE_ITEMS) : items;
        return done(Result.of(new Page(page, hasMore, mRevision)));
    }

    @Override
    public CompletableFuture<Result<Changes>> watch(
            String prefix, long afterRevision, long waitMs) {
        mLongestWaitMs = Math.max(mLongestWaitMs, waitMs);
        Optional<CompletableFuture<Result<Changes>>> refused = refused();
        if (refused.isPresent()) {
            return refused.get();
        }
        if (!mIsDirect || (afterRevision < mHistoryFrom && mHangsOnLostHistory)) {
            CompletableFuture<Result<Changes>> hanging = new CompletableFuture<>();
            mWatches.add(new Watch("none", mRevision, mThread.nowMs() + waitMs, hanging));
            return hanging;
        }
        if (afterRevision < mHistoryFrom) {
            return done(Result.fail(ErrorKind.CONFLICT, "410"));
        }
        CompletableFuture<Result<Changes>> future = new CompletableFuture<>();
        mWatches.add(new Watch(prefix, afterRevision, mThread.nowMs() + waitMs, future));
        step();
        return future;
    }

    private List<Change> since(String prefix, long after) {
        return mHistory.stream()
                .filter(c -> c.key().startsWith(prefix) && c.revision() > after)
                .toList();
    }

    @Override
    public CompletableFuture<Result<Long>> commit(Transaction transaction) {
        Optional<CompletableFuture<Result<Long>>> refused = refused();
        if (refused.isPresent()) {
            return refused.get();
        }
        for (Transaction.Expectation expected : transaction.expected()) {
            StoredItem item = mItems.get(expected.key());
            if ((item == null ? 0 : item.revision()) != expected.revision()) {
                return effect(Result.fail(ErrorKind.CONFLICT, "412"));
            }
        }
        for (Transaction.Write write : transaction.writes()) {
            if (write.lease() != 0 && !mLeaseUntilMs.containsKey(write.lease())) {
                return effect(Result.fail(ErrorKind.NOT_FOUND, "404"));
            }
        }
        mRevision++;
        for (Transaction.Write write : transaction.writes()) {
            StoredItem item = new StoredItem(write.key(), write.value(), mRevision, write.lease());
            mItems.put(write.key(), item);
            mHistory.add(new Change(write.key(), Optional.of(item), mRevision));
        }
        for (String key : transaction.deletes()) {
            if (mItems.remove(key) != null) {
                mHistory.add(new Change(key, Optional.empty(), mRevision));
            }
        }
        return effect(Result.of(mRevision));
    }

    @Override
    public CompletableFuture<Result<Long>> grantLease(long ttlMs) {
        Optional<CompletableFuture<Result<Long>>> refused = refused();
        if (refused.isPresent()) {
            return refused.get();
        }
        mRevision++;
        mLeaseUntilMs.put(mRevision, mThread.nowMs() + ttlMs);
        mLeaseTtlMs.put(mRevision, ttlMs);
        return effect(Result.of(mRevision));
    }

    @Override
    public CompletableFuture<Result<Long>> renewLease(long lease) {
        Optional<CompletableFuture<Result<Long>>> refused = refused();
        if (refused.isPresent()) {
            return refused.get();
        }
        if (!mLeaseUntilMs.containsKey(lease)) {
            return effect(Result.fail(ErrorKind.NOT_FOUND, "404"));
        }
        mLeaseUntilMs.put(lease, mThread.nowMs() + mLeaseTtlMs.get(lease));
        return effect(Result.of(mLeaseTtlMs.get(lease)));
    }

    @Override
    public CompletableFuture<Result<Boolean>> endLease(long lease) {
        Optional<CompletableFuture<Result<Boolean>>> refused = refused();
        if (refused.isPresent()) {
            return refused.get();
        }
        mLeaseUntilMs.put(lease, 0L);
        step();
        return effect(Result.of(true));
    }
}
