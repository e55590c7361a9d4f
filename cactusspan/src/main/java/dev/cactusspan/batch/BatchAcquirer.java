package dev.cactusspan.batch;

import dev.cactusspan.id.BatchId;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.OpenWrite;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * Acquires batches for this process: those of processes that are gone, and its own that it has not
 * loaded. All methods are called on one thread.
 */
final class BatchAcquirer {
    private final BatchStore mStore;
    private final KnownBatches mKnown;
    private final NodeDirectory mNodes;
    private final String mOwner;
    private final BatchHomes mHomes;
    private final Executor mThread;
    private final DelayedTasks mDelayed;
    private final BatchManager mManager;
    private final Set<BatchId> mAcquiring = new HashSet<>();

    BatchAcquirer(
            BatchStore store,
            KnownBatches known,
            NodeDirectory nodes,
            String owner,
            BatchHomes homes,
            Executor thread,
            DelayedTasks delayed,
            BatchManager manager) {
        mStore = store;
        mKnown = known;
        mNodes = nodes;
        mOwner = owner;
        mHomes = homes;
        mThread = thread;
        mDelayed = delayed;
        mManager = manager;
    }

    /**
     * Takes over batches whose owner no longer holds a lease, if this process is the sweeper, and
     * loads batches that this process owns but has not begun.
     */
    void takeOverBatches(boolean isSweeper) {
        for (KnownOwnership known : mKnown.open()) {
            BatchOwnership ownership = known.ownership();
            BatchId id = ownership.id();
            if (mManager.hasBegun(id) || mAcquiring.contains(id)) {
                continue;
            }
            boolean isOrphan = mNodes.find(ownership.owner()).isEmpty();
            if (ownership.owner().equals(mOwner)) {
                mAcquiring.add(id);
                loadBatch(id);
            } else if (isSweeper && isOrphan && mHomes.isNextOwner(mOwner, ownership)) {
                tryTakeOver(known, new OpenWrite());
            }
        }
    }

    private void tryTakeOver(KnownOwnership known, OpenWrite write) {
        BatchId id = known.ownership().id();
        mAcquiring.add(id);
        BatchOwnership mine = known.ownership().withOwner(mOwner);
        FutureResults.deliver(
                mStore.putOwnership(mine, known.revision()),
                mThread,
                r ->
                        r.fold(
                                f -> {
                                    switch (write.onWriteFailed(f)) {
                                        case READ -> refreshOwnership(id);
                                        case WRITE -> mDelayed.add(() -> tryTakeOver(known, write));
                                        default -> mDelayed.add(() -> mAcquiring.remove(id));
                                    }
                                    return null;
                                },
                                revision -> {
                                    Decision.of("batch_taken_over")
                                            .with("batch", id.value())
                                            .with("from", known.ownership().owner())
                                            .info();
                                    mKnown.put(id, new KnownOwnership(mine, revision));
                                    loadBatch(id);
                                    return null;
                                }));
    }

    private void refreshOwnership(BatchId id) {
        FutureResults.deliver(
                mStore.readOwnerKey(id),
                mThread,
                r ->
                        r.fold(
                                f -> {
                                    mDelayed.add(() -> refreshOwnership(id));
                                    return null;
                                },
                                item -> {
                                    item.ifPresent(i -> mManager.onOwnerKeyChanged(i.key(), item));
                                    loadBatch(id);
                                    return null;
                                }));
    }

    /** Reads a batch that this process owns. */
    private void loadBatch(BatchId id) {
        Optional<KnownOwnership> known = mKnown.find(id).filter(k -> isMine(k.ownership()));
        if (known.isEmpty()) {
            mAcquiring.remove(id);
            return;
        }
        FutureResults.deliver(
                mStore.load(id, mHomes.residency(known.get().ownership())),
                mThread,
                (Result<StoredBatch> r) ->
                        r.fold(
                                f -> {
                                    mDelayed.add(() -> loadBatch(id));
                                    return null;
                                },
                                stored -> {
                                    confirm(id, stored, known.get().revision());
                                    return null;
                                }));
    }

    /** Begins a batch if its owner key has not changed while the batch was read. */
    private void confirm(BatchId id, StoredBatch stored, long revision) {
        FutureResults.deliver(
                mStore.readOwnerKey(id),
                mThread,
                r ->
                        r.fold(
                                f -> {
                                    mDelayed.add(() -> loadBatch(id));
                                    return null;
                                },
                                item -> {
                                    item.ifPresent(i -> mManager.onOwnerKeyChanged(i.key(), item));
                                    boolean isCurrent =
                                            item.map(i -> i.revision() == revision).orElse(false);
                                    if (isCurrent) {
                                        mAcquiring.remove(id);
                                        mManager.onLoaded(stored, revision);
                                    } else {
                                        mDelayed.add(() -> loadBatch(id));
                                    }
                                    return null;
                                }));
    }

    private boolean isMine(BatchOwnership ownership) {
        return ownership.isOpenAt(mOwner);
    }

    // Accessors

    /** Returns how many batches are being acquired. */
    int size() {
        return mAcquiring.size();
    }
}
