package dev.cactusspan.batch;

import dev.cactusspan.observe.Decision;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.store.StoredItem;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Appends finished results to the store. Results are listed only after the append succeeds. After a
 * conflict the stored list is authoritative: the append may have taken effect although its response
 * was lost, or another process may own the batch.
 */
final class ResultAppender {

    /** Maximum time that results of incomplete groups wait for further results, in milliseconds. */
    private static final long MAX_GATHER_MS = 600;

    /**
     * Maximum size of the texts in one append, unless one text alone is larger, in bytes: the store
     * takes values of 1 MB, counted in base64.
     */
    private static final int MAX_APPEND_BYTES = 512 << 10;

    /**
     * Time after an append in which only the last results of a batch are appended, in milliseconds.
     * Each append has a price, and trainers read about twice a second.
     */
    private static final long MIN_INTERVAL_MS = 250;

    private final BatchStore mStore;
    private final Executor mThread;
    private final Backoff mBackoff;
    private final LongSupplier mNowMs;
    private final OwnerKeyListener mOwnerKeys;

    ResultAppender(
            BatchStore store,
            Executor thread,
            Backoff backoff,
            LongSupplier nowMs,
            OwnerKeyListener ownerKeys) {
        mStore = store;
        mThread = thread;
        mBackoff = backoff;
        mNowMs = nowMs;
        mOwnerKeys = ownerKeys;
    }

    /** Receives owner keys that were read after a refused append. */
    interface OwnerKeyListener {
        /**
         * Called with the owner key of a batch.
         *
         * @param owned the batch
         * @param item its owner key, empty if there is none
         * @return false if this process no longer owns the batch
         */
        boolean onOwnerKeyRead(OwnedBatch owned, Optional<StoredItem> item);
    }

    void tick(OwnedBatch owned) {
        if (owned.isAppendDue(mNowMs.getAsLong(), MAX_GATHER_MS)) {
            List<ItemResult> results = owned.startAppend(MAX_APPEND_BYTES);
            FutureResults.deliver(
                    mStore.append(
                            owned.batch().id(), owned.revision(), owned.listedCount(), results),
                    mThread,
                    r ->
                            r.fold(
                                    f -> onAppendFailed(owned, f),
                                    revision -> onAppended(owned, results)));
        }
    }

    private Void onAppended(OwnedBatch owned, List<ItemResult> results) {
        owned.onAppended(results, mNowMs.getAsLong() + MIN_INTERVAL_MS);
        Decision.of("results_listed")
                .with("batch", owned.batch().id().value())
                .with("revision", owned.revision())
                .with("results", results.size())
                .with("listed", owned.listedCount())
                .with("open", owned.runs().size())
                .info();
        return null;
    }

    private Void onAppendFailed(OwnedBatch owned, Failure failure) {
        Decision.of("append_failed")
                .with("batch", owned.batch().id().value())
                .with("revision", owned.revision())
                .with("listed", owned.listedCount())
                .with("failure", failure.toString())
                .warn();
        if (failure.kind() == ErrorKind.CONFLICT) {
            reconcile(owned);
            return null;
        }
        retryLater(owned, failure.kind() == ErrorKind.OUTCOME_UNKNOWN);
        return null;
    }

    private void retryLater(OwnedBatch owned, boolean isUnknown) {
        long delayMs = mBackoff.delayMs(owned.appendFailureCount() + 1);
        owned.onAppendFailed(isUnknown, mNowMs.getAsLong() + delayMs);
    }

    private void reconcile(OwnedBatch owned) {
        FutureResults.deliver(
                mStore.readOwnerKey(owned.batch().id()),
                mThread,
                r ->
                        r.fold(
                                f -> {
                                    retryLater(owned, true);
                                    return null;
                                },
                                item -> {
                                    if (mOwnerKeys.onOwnerKeyRead(owned, item)) {
                                        reload(owned);
                                    }
                                    return null;
                                }));
    }

    private void reload(OwnedBatch owned) {
        FutureResults.deliver(
                mStore.load(owned.batch().id(), owned.batch().residency()),
                mThread,
                (Result<StoredBatch> r) ->
                        r.fold(
                                f -> {
                                    retryLater(owned, true);
                                    return null;
                                },
                                stored -> {
                                    onReloaded(owned, stored);
                                    return null;
                                }));
    }

    private static void onReloaded(OwnedBatch owned, StoredBatch stored) {
        int listedBefore = owned.listedCount();
        owned.onReloaded(stored);
        Decision.of("results_reloaded")
                .with("batch", owned.batch().id().value())
                .with("revision", owned.revision())
                .with("listed_before", listedBefore)
                .with("listed", owned.listedCount())
                .with("open", owned.runs().size())
                .warn();
    }
}
