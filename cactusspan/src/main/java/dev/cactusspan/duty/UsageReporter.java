package dev.cactusspan.duty;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.peer.NodeRecord;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.OpenWrite;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.store.Transaction;
import dev.cactusspan.store.Transaction.Expectation;
import dev.cactusspan.store.Transaction.Write;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.time.WallClock;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Reports usage window by window. After the end of a window, each process writes its own counts to
 * the store. The holder of the duty sums them up, seals the sum in the store, and sends the sealed
 * sum until it is accepted.
 */
public final class UsageReporter {
    private static final String COUNTS_PREFIX = "cs/usage/";
    private static final String SEALED_PREFIX = "cs/sealed/";

    /**
     * Time after the end of a window by which all of its requests have been counted, in
     * milliseconds.
     */
    private static final long FLUSH_AFTER_MS = 200;

    /** The sum is sealed at the latest this long after the end of a window, in milliseconds. */
    private static final long SEAL_BY_MS = 7_000;

    /** Number of windows before its start from which a process reports, if it holds the duty. */
    private static final long LOOK_BACK_WINDOWS = 4;

    /** Delay between attempts, in milliseconds. */
    private static final long RETRY_MS = 400;

    private final KeyStore mStore;
    private final DutyHolder mDuty;
    private final NodeDirectory mNodes;
    private final NodeRecord mSelf;
    private final UsagePort mPort;
    private final Executor mThread;
    private final LongSupplier mNowMs;
    private final WallClock mWallClock;
    private final UsageCounts mCounts;
    private long mLastFlushedWindow;
    private boolean mIsFlushing;
    private long mNextFlushMs;
    private long mLastReportedWindow;
    private boolean mIsReporting;
    private long mNextReportMs;
    private Sealing mSealing = new Sealing(0, Map.of(), List.of());
    private final OpenWrite mSealWrite = new OpenWrite();

    /** The sum of a window that is being sealed, and the counts that it replaces. */
    private record Sealing(long window, Map<String, Long> sum, List<StoredItem> items) {}

    /**
     * Creates a reporter, which acts on {@link #tick}.
     *
     * @param store the store
     * @param duty the duty of reporting
     * @param nodes directory of the live processes
     * @param self this process
     * @param port sends reports
     * @param windowMs length of a window, in milliseconds
     * @param thread the single thread on which all calls and callbacks run
     * @param nowMs monotonic clock in milliseconds
     * @param wallClock the time of day
     */
    public UsageReporter(
            KeyStore store,
            DutyHolder duty,
            NodeDirectory nodes,
            NodeRecord self,
            UsagePort port,
            long windowMs,
            Executor thread,
            LongSupplier nowMs,
            WallClock wallClock) {
        mStore = store;
        mDuty = duty;
        mNodes = nodes;
        mSelf = self;
        mPort = port;
        mThread = thread;
        mNowMs = nowMs;
        mWallClock = wallClock;
        mCounts = new UsageCounts(windowMs);
        mLastFlushedWindow = mCounts.windowOf(wallClock.wallMs()) - 1;
        mLastReportedWindow = mLastFlushedWindow - LOOK_BACK_WINDOWS;
    }

    // Operations

    /**
     * Counts a request that starts to run now.
     *
     * @param account the client account
     * @return takes the request back, to be run if it turns out that no target has run it
     */
    public Runnable count(AccountId account) {
        long wallMs = mWallClock.wallMs();
        mCounts.count(account, wallMs);
        return () -> mCounts.uncount(account, mCounts.windowOf(wallMs));
    }

    /** Writes own counts and reports windows when they are due. */
    public void tick() {
        long wallMs = mWallClock.wallMs();
        if (!mIsFlushing
                && mNowMs.getAsLong() >= mNextFlushMs
                && wallMs >= mCounts.endMs(mLastFlushedWindow + 1) + FLUSH_AFTER_MS) {
            flush(mLastFlushedWindow + 1);
        }
        if (mIsReporting || mNowMs.getAsLong() < mNextReportMs || mDuty.fencing().isEmpty()) {
            return;
        }
        switch (mSealWrite.step()) {
            case READ -> {
                mIsReporting = true;
                readSealed();
            }
            case WRITE -> {
                mIsReporting = true;
                seal();
            }
            default -> {
                if (wallMs >= mCounts.endMs(mLastReportedWindow + 1) + FLUSH_AFTER_MS) {
                    report(mLastReportedWindow + 1, wallMs);
                }
            }
        }
    }

    // Own counts

    private void flush(long window) {
        mIsFlushing = true;
        byte[] counts = JsonText.write(mCounts.counts(window));
        String key = countsPrefix(window) + mSelf.owner();
        FutureResults.deliver(
                mStore.commit(Transaction.of(List.of(), List.of(new Write(key, counts, 0)))),
                mThread,
                r ->
                        r.fold(
                                f -> {
                                    mIsFlushing = false;
                                    mNextFlushMs = mNowMs.getAsLong() + RETRY_MS;
                                    return null;
                                },
                                revision -> {
                                    mIsFlushing = false;
                                    mLastFlushedWindow = window;
                                    mCounts.discardUpTo(window);
                                    return null;
                                }));
    }

    // Reports

    private void report(long window, long wallMs) {
        mIsReporting = true;
        FutureResults.deliver(
                mStore.range(countsPrefix(window), ""),
                mThread,
                (Result<KeyStore.Page> r) ->
                        r.fold(this::onFailed, page -> onCountsRead(window, wallMs, page.items())));
    }

    private Void onCountsRead(long window, long wallMs, List<StoredItem> items) {
        Set<String> written = new HashSet<>();
        TreeMap<String, Long> sum = new TreeMap<>();
        for (StoredItem item : items) {
            written.add(item.key().substring(countsPrefix(window).length()));
            JsonText.read(item.value(), JsonNode.class)
                    .map(
                            counts -> {
                                counts.fields()
                                        .forEachRemaining(
                                                e ->
                                                        sum.merge(
                                                                e.getKey(),
                                                                e.getValue().asLong(),
                                                                Long::sum));
                                return counts;
                            });
        }
        boolean isComplete = mNodes.all().stream().allMatch(node -> written.contains(node.owner()));
        if (!isComplete && wallMs < mCounts.endMs(window) + SEAL_BY_MS) {
            retryLater();
            return null;
        }
        mSealing = new Sealing(window, sum, items);
        seal();
        return null;
    }

    /** Seals the sum; while the outcome is open, the same sum is sealed again. */
    private void seal() {
        String key = sealedKey(mSealing.window());
        byte[] value = JsonText.write(mSealing.sum());
        Transaction seal =
                new Transaction(
                        List.of(new Expectation(key, 0)),
                        List.of(new Write(key, value, 0)),
                        mSealing.items().stream().limit(30).map(StoredItem::key).toList());
        FutureResults.deliver(
                mStore.commit(seal),
                mThread,
                r ->
                        r.fold(
                                this::onSealFailed,
                                revision -> {
                                    mSealWrite.onWritten();
                                    send(mSealing.window(), mSealing.sum());
                                    return null;
                                }));
    }

    private Void onSealFailed(Failure failure) {
        if (mSealWrite.onWriteFailed(failure) != OpenWrite.Step.READ) {
            return onFailed(failure);
        }
        readSealed();
        return null;
    }

    /** Reads what is sealed for the window, by this process or another one. */
    private void readSealed() {
        long window = mSealing.window();
        FutureResults.deliver(
                mStore.get(sealedKey(window)),
                mThread,
                (Result<Optional<StoredItem>> r) ->
                        r.fold(
                                this::onFailed,
                                item -> {
                                    mSealWrite.onRead();
                                    if (item.isEmpty()) {
                                        retryLater();
                                        return null;
                                    }
                                    send(window, parseCounts(item.get()));
                                    return null;
                                }));
    }

    private static Map<String, Long> parseCounts(StoredItem item) {
        return JsonText.mapper()
                .convertValue(
                        JsonText.read(item.value(), JsonNode.class).get(),
                        new TypeReference<TreeMap<String, Long>>() {});
    }

    private void send(long window, Map<String, Long> sum) {
        Optional<FencingNumber> fencing = mDuty.fencing();
        if (sum.isEmpty()) {
            markReported(window);
            return;
        }
        if (fencing.isEmpty()) {
            retryLater();
            return;
        }
        mDuty.recordAction();
        FutureResults.deliver(
                mPort.report(window, sum, mSelf.vm(), fencing.get()),
                mThread,
                r ->
                        r.fold(
                                this::onFailed,
                                outcome -> {
                                    onSent(window, outcome, sum, fencing.get());
                                    return null;
                                }));
    }

    private void onSent(
            long window, UsagePort.Outcome outcome, Map<String, Long> sum, FencingNumber fencing) {
        Decision.of("usage_sent")
                .with("window", window)
                .with("counts", sum)
                .with("fencing", fencing.number())
                .with("outcome", outcome.name())
                .info();
        switch (outcome) {
            case TAKEN -> markReported(window);
            case FENCED -> {
                mDuty.onFenced();
                retryLater();
            }
            default -> retryLater();
        }
    }

    private void markReported(long window) {
        mIsReporting = false;
        mLastReportedWindow = window;
    }

    private Void onFailed(Failure failure) {
        Decision.of("usage_failed").with("reason", failure.toString()).warn();
        retryLater();
        return null;
    }

    private void retryLater() {
        mIsReporting = false;
        mNextReportMs = mNowMs.getAsLong() + RETRY_MS;
    }

    private static String countsPrefix(long window) {
        return COUNTS_PREFIX + window + "/";
    }

    private static String sealedKey(long window) {
        return SEALED_PREFIX + window;
    }

    /**
     * Tells whether all counts of this process are in the store.
     *
     * @return true if no counts would be lost if the process stopped now
     */
    public boolean isFlushed() {
        return !mIsFlushing && mCounts.counts(mCounts.windowOf(mWallClock.wallMs())).isEmpty();
    }
}
