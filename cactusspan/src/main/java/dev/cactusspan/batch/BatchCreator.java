package dev.cactusspan.batch;

import dev.cactusspan.id.BatchId;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.OpenWrite;
import dev.cactusspan.store.StoredItem;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Writes new batches to the store. Load pattern: trainers submit a batch again while the reply to
 * its first write is on its way. All submissions of a batch share one write and its outcome. All
 * methods are called on one thread.
 */
final class BatchCreator {
    private final BatchStore mStore;
    private final String mOwner;
    private final Executor mThread;
    private final DelayedTasks mDelayed;
    private final Listener mListener;
    private final Map<BatchId, List<Consumer<Result<Boolean>>>> mOpen = new HashMap<>();

    BatchCreator(
            BatchStore store,
            String owner,
            Executor thread,
            DelayedTasks delayed,
            Listener listener) {
        mStore = store;
        mOwner = owner;
        mThread = thread;
        mDelayed = delayed;
        mListener = listener;
    }

    /** Receives what became of the writes. */
    interface Listener {
        /** Called when a batch was created, with the owner key that was written. */
        void onCreated(Batch batch, KnownOwnership created);

        /** Called with the owner key of a batch that existed before. */
        void onExisting(StoredItem ownerKey);
    }

    // Operations

    /**
     * Creates a batch. After a lost reply the write goes on until its outcome is known.
     *
     * @param batch the batch
     * @param done receives the outcome, ok if the store holds the batch
     */
    void create(Batch batch, Consumer<Result<Boolean>> done) {
        List<Consumer<Result<Boolean>>> submissions = mOpen.get(batch.id());
        if (submissions != null) {
            submissions.add(done);
            return;
        }
        mOpen.put(batch.id(), new ArrayList<>(List.of(done)));
        write(batch, new OpenWrite());
    }

    private void write(Batch batch, OpenWrite write) {
        BatchOwnership ownership = BatchOwnership.of(batch, mOwner);
        FutureResults.deliver(
                mStore.create(batch, ownership),
                mThread,
                r ->
                        r.fold(
                                f -> onFailed(batch, write, f),
                                revision -> {
                                    mListener.onCreated(
                                            batch, new KnownOwnership(ownership, revision));
                                    return complete(batch.id(), Result.of(true));
                                }));
    }

    private Void onFailed(Batch batch, OpenWrite write, Failure failure) {
        switch (write.onWriteFailed(failure)) {
            case READ -> readOwnerKey(batch);
            case WRITE -> mDelayed.add(() -> write(batch, write));
            default -> complete(batch.id(), Result.fail(failure));
        }
        return null;
    }

    private void readOwnerKey(Batch batch) {
        FutureResults.deliver(
                mStore.readOwnerKey(batch.id()),
                mThread,
                r ->
                        r.fold(
                                f -> {
                                    mDelayed.add(() -> readOwnerKey(batch));
                                    return null;
                                },
                                item -> onOwnerKeyRead(batch, item)));
    }

    private Void onOwnerKeyRead(Batch batch, Optional<StoredItem> item) {
        if (item.isEmpty()) {
            return complete(
                    batch.id(),
                    Result.fail(ErrorKind.OUTCOME_UNKNOWN, "the owner key was removed"));
        }
        mListener.onExisting(item.get());
        return complete(batch.id(), Result.of(true));
    }

    private Void complete(BatchId id, Result<Boolean> result) {
        // A submission that fails keeps no other one from its outcome.
        mOpen.remove(id).forEach(done -> mThread.execute(() -> done.accept(result)));
        return null;
    }

    // Accessors

    /** Returns how many batches have a write whose outcome is open. */
    int size() {
        return mOpen.size();
    }

    /** Tells whether the outcome of a batch's write is open. */
    boolean isOpen(BatchId id) {
        return mOpen.containsKey(id);
    }
}
