package dev.cactusspan.batch;

import dev.cactusspan.id.BatchId;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.StoredItem;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;

/** Ends batches of any owner by writing their owner keys. */
final class BatchEnder {
    private final BatchStore mStore;
    private final Executor mThread;
    private final Function<BatchId, Optional<KnownOwnership>> mKnown;
    private final Consumer<StoredItem> mOnOwnerKeyRead;
    private final Consumer<KnownOwnership> mOnEnded;

    /**
     * Creates an ender.
     *
     * @param store the durable records
     * @param thread runs the callbacks
     * @param known finds the last known ownership of a batch
     * @param onOwnerKeyRead receives owner keys as they are read
     * @param onEnded receives the ownership of each batch that was ended here
     */
    BatchEnder(
            BatchStore store,
            Executor thread,
            Function<BatchId, Optional<KnownOwnership>> known,
            Consumer<StoredItem> onOwnerKeyRead,
            Consumer<KnownOwnership> onEnded) {
        mStore = store;
        mThread = thread;
        mKnown = known;
        mOnOwnerKeyRead = onOwnerKeyRead;
        mOnEnded = onEnded;
    }

    /** Ends a batch; {@code not_found} if there is no such batch. */
    void end(BatchId id, Consumer<Result<Boolean>> done) {
        Optional<KnownOwnership> known = mKnown.apply(id);
        if (known.isEmpty()) {
            readThenEnd(id, done);
        } else if (known.get().ownership().isEnded()) {
            done.accept(Result.of(true));
        } else {
            write(known.get(), done);
        }
    }

    private void write(KnownOwnership known, Consumer<Result<Boolean>> done) {
        BatchOwnership ended = known.ownership().asEnded();
        FutureResults.deliver(
                mStore.putOwnership(ended, known.revision()),
                mThread,
                r ->
                        r.fold(
                                f -> {
                                    if (f.kind() == ErrorKind.PLATFORM_UNAVAILABLE) {
                                        done.accept(Result.fail(f));
                                    } else {
                                        readThenEnd(ended.id(), done);
                                    }
                                    return null;
                                },
                                revision -> {
                                    mOnEnded.accept(new KnownOwnership(ended, revision));
                                    done.accept(Result.of(true));
                                    return null;
                                }));
    }

    private void readThenEnd(BatchId id, Consumer<Result<Boolean>> done) {
        FutureResults.deliver(
                mStore.readOwnerKey(id),
                mThread,
                r ->
                        r.fold(
                                f -> {
                                    done.accept(Result.fail(f));
                                    return null;
                                },
                                item -> {
                                    if (item.isEmpty()) {
                                        done.accept(
                                                Result.fail(ErrorKind.NOT_FOUND, "no batch " + id));
                                        return null;
                                    }
                                    mOnOwnerKeyRead.accept(item.get());
                                    end(id, done);
                                    return null;
                                }));
    }
}
