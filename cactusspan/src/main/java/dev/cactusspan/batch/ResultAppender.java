package dev.cactusspan.batch;

import dev.cactusspan.observe.Decision;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.routing.Backoff;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Appends finished results to the store; only then they are listed. After a conflict the store's
 * own list decides: the append may have taken effect with its answer lost, or another process may
 * own the batch.
 */
final class ResultAppender {

    /** Results of groups that are not whole wait this long for others, in milliseconds. */
    private static final long GATHER_MS = 600;

    private final BatchStore mStore;
    private final Executor mThread;
    private final Backoff mBackoff;
    private final LongSupplier mNowMs;
    private final Consumer<OwnedBatch> mOnDisowned;

    ResultAppender(
            BatchStore store,
            Executor thread,
            Backoff backoff,
            LongSupplier nowMs,
            Consumer<OwnedBatch> onDisowned) {
        mStore = store;
        mThread = thread;
        mBackoff = backoff;
        mNowMs = nowMs;
        mOnDisowned = onDisowned;
    }

    void tick(OwnedBatch owned) {
        if (owned.isAppendDue(mNowMs.getAsLong(), GATHER_MS)) {
            List<ItemResult> results = owned.beginAppend();
            FutureResults.deliver(
                    mStore.append(owned.batch().id(), owned.revision(), owned.listed(), results),
                    mThread,
                    r -> r.fold(f -> failed(owned, f), revision -> appended(owned, results)));
        }
    }

    private Void appended(OwnedBatch owned, List<ItemResult> results) {
        owned.appended(results);
        Decision.of("results_listed")
                .with("batch", owned.batch().id().value())
                .with("results", results.size())
                .with("listed", owned.listed())
                .with("open", owned.runs().size())
                .info();
        return null;
    }

    private Void failed(OwnedBatch owned, Failure failure) {
        Decision.of("append_failed")
                .with("batch", owned.batch().id().value())
                .with("listed", owned.listed())
                .with("failure", failure.toString())
                .warn();
        if (failure.kind() == ErrorKind.CONFLICT) {
            reconcile(owned);
            return null;
        }
        retryLater(owned);
        return null;
    }

    private void retryLater(OwnedBatch owned) {
        long delayMs = mBackoff.delayMs(owned.appendFailures() + 1);
        owned.appendFailed(mNowMs.getAsLong() + delayMs);
    }

    private void reconcile(OwnedBatch owned) {
        FutureResults.deliver(
                mStore.owner(owned.batch().id()),
                mThread,
                r ->
                        r.fold(
                                f -> {
                                    retryLater(owned);
                                    return null;
                                },
                                item -> {
                                    boolean isMine =
                                            item.map(i -> i.revision() == owned.revision())
                                                    .orElse(false);
                                    if (isMine) {
                                        reload(owned);
                                    } else {
                                        mOnDisowned.accept(owned);
                                    }
                                    return null;
                                }));
    }

    private void reload(OwnedBatch owned) {
        FutureResults.deliver(
                mStore.load(owned.batch().id()),
                mThread,
                (Result<StoredBatch> r) ->
                        r.fold(
                                f -> {
                                    retryLater(owned);
                                    return null;
                                },
                                stored -> {
                                    owned.reloaded(stored);
                                    return null;
                                }));
    }
}
