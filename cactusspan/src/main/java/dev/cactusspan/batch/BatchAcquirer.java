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
     * loads batches that this process owns but has not loaded.
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
                loadBatch(id, known.revision());
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
                                    loadBatch(id, revision);
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
                                    mAcquiring.remove(id);
                                    if (isMine(id) && !mManager.hasBegun(id)) {
                                        mAcquiring.add(id);
                                        loadBatch(id, item.orElseThrow().revision());
                                    }
                                    return null;
                                }));
    }

    private void loadBatch(BatchId id, long revision) {
        Optional<KnownOwnership> known = mKnown.find(id);
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
                                    mDelayed.add(() -> loadBatch(id, revision));
                                    return null;
                                },
                                stored -> {
                                    mAcquiring.remove(id);
                                    if (isMine(id) && !mManager.hasBegun(id)) {
                                        mManager.onLoaded(stored, revision);
                                    }
                                    return null;
                                }));
    }

    /** Tells whether this process owns a batch that has not ended. */
    boolean isMine(BatchId id) {
        return mKnown.find(id).map(k -> k.ownership().isOpenAt(mOwner)).orElse(false);
    }
}
