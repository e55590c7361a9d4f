package dev.cactusspan.batch;

import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.StoredItem;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Manages the batches of this process: accepts new batches, runs those that it owns, and takes over
 * batches whose owner is no longer alive.
 */
public final class BatchManager {

    /** How long processes may take to register again after the store recovers, in milliseconds. */
    private static final long REGISTRATION_GRACE_MS = 2_000;

    private final String mOwner;
    private final ItemRunner mRunner;
    private final ResultAppender mAppender;
    private final ProgressSaver mSaver;
    private final BatchAge mAge;
    private final BatchHomes mHomes;
    private final BatchCreator mCreator;
    private final BatchEnder mEnder;
    private final BatchAcquirer mAcquirer;
    private final LongSupplier mNowMs;
    private final Map<BatchId, OwnedBatch> mOwned = new LinkedHashMap<>();
    private final KnownBatches mKnown = new KnownBatches();
    private final DelayedTasks mDelayed;
    private boolean mIsStopping;
    private boolean mIsDraining;

    /**
     * Creates a manager.
     *
     * @param store the durable records
     * @param nodes directory of the live processes
     * @param owner the name of this process as an owner
     * @param thread the single thread on which all calls and callbacks run
     * @param runner runs items
     * @param appenderFactory creates the result appender, given a listener for owner keys
     * @param saver saves the progress of unfinished texts
     * @param age converts times of acceptance
     * @param homes decides where batches that are bound to regions may be
     * @param nowMs monotonic clock in milliseconds
     */
    BatchManager(
            BatchStore store,
            NodeDirectory nodes,
            String owner,
            Executor thread,
            ItemRunner runner,
            Function<ResultAppender.OwnerKeyListener, ResultAppender> appenderFactory,
            ProgressSaver saver,
            BatchAge age,
            BatchHomes homes,
            LongSupplier nowMs) {
        mOwner = owner;
        mRunner = runner;
        mAppender = appenderFactory.apply(this::onOwnerKeyRead);
        mSaver = saver;
        mAge = age;
        mHomes = homes;
        mEnder =
                new BatchEnder(
                        store,
                        thread,
                        this::findOwnership,
                        item -> onOwnerKeyChanged(item.key(), Optional.of(item)),
                        this::onEndedHere);
        mNowMs = nowMs;
        mDelayed = new DelayedTasks(nowMs);
        mCreator = new BatchCreator(store, owner, thread, mDelayed, creations());
        mAcquirer = new BatchAcquirer(store, mKnown, nodes, owner, homes, thread, mDelayed, this);
    }

    // Accepting

    /**
     * Accepts a batch. The outcome is ok once the complete batch is durable, owned by this process
     * or by an earlier owner. After {@code outcome_unknown} the write is retried in the background.
     *
     * @param submitted the batch as submitted
     * @param done receives the outcome
     */
    public void submit(Batch submitted, Consumer<Result<Boolean>> done) {
        Batch batch = mHomes.bind(submitted);
        if (mOwned.containsKey(batch.id()) || mKnown.find(batch.id()).isPresent()) {
            done.accept(Result.of(true));
            return;
        }
        if (mCreator.isOpen(batch.id())) {
            mCreator.create(batch, done);
            return;
        }
        if (mIsStopping) {
            done.accept(Result.fail(ErrorKind.SHUTTING_DOWN, "the process is stopping"));
            return;
        }
        if (mHomes.isUnserved(batch)) {
            done.accept(
                    Result.fail(
                            ErrorKind.NO_TARGET_IN_REGION,
                            "no target of " + batch.service() + " in " + batch.residency()));
            return;
        }
        mCreator.create(batch, done);
    }

    private BatchCreator.Listener creations() {
        return new BatchCreator.Listener() {
            @Override
            public void onCreated(Batch batch, KnownOwnership created) {
                BatchManager.this.onCreated(batch, created);
            }

            @Override
            public void onExisting(StoredItem ownerKey) {
                onOwnerKeyChanged(ownerKey.key(), Optional.of(ownerKey));
            }
        };
    }

    /** Begins a batch that this process created, unless its owner key has changed since. */
    private void onCreated(Batch batch, KnownOwnership created) {
        Decision.of("batch_accepted")
                .with("batch", batch.id().value())
                .with("account", batch.account().value())
                .with("step", batch.step())
                .with("model", batch.model().value())
                .with("min_version", batch.minVersion().number())
                .with("items", batch.items().size())
                .with("revision", created.revision())
                .info();
        boolean isCurrent =
                mKnown.find(batch.id())
                        .map(known -> known.revision() <= created.revision())
                        .orElse(true);
        if (isCurrent) {
            mKnown.put(batch.id(), created);
            begin(StoredBatch.ofNew(batch), created.revision(), mAge.acceptedNowMs());
        }
    }

    /** Tells whether this process has a batch in memory, or is about to. */
    boolean hasBegun(BatchId id) {
        return mOwned.containsKey(id) || mCreator.isOpen(id);
    }

    /** Takes a batch of this process that was read from the store. */
    void onLoaded(StoredBatch stored, long revision) {
        begin(stored, revision, mAge.acceptedMs(stored.batch()));
    }

    /** Begins a batch, unless it is in memory: it has one state in a process. */
    private void begin(StoredBatch stored, long revision, long acceptedMs) {
        BatchId id = stored.batch().id();
        if (mOwned.containsKey(id)) {
            return;
        }
        OwnedBatch owned = new OwnedBatch(stored, revision, acceptedMs);
        mOwned.put(id, owned);
        Decision.of("batch_begun")
                .with("batch", id.value())
                .with("revision", revision)
                .with("listed", owned.listedCount())
                .with("open", owned.runs().size())
                .info();
    }

    // Ownership

    /**
     * Handles a change of a batch's owner key.
     *
     * @param key the key
     * @param item its new value, empty if the key was deleted
     */
    public void onOwnerKeyChanged(String key, Optional<StoredItem> item) {
        BatchId id = BatchStore.batchIdOf(key);
        if (item.isEmpty()) {
            mKnown.remove(id);
            Optional.ofNullable(mOwned.remove(id)).ifPresent(OwnedBatch::onOwnershipLost);
            return;
        }
        long knownRevision = mKnown.find(id).map(KnownOwnership::revision).orElse(0L);
        if (knownRevision >= item.get().revision()) {
            return;
        }
        Result<BatchOwnership> ownership = BatchStore.parseOwnership(item.get());
        if (!ownership.isOk()) {
            Decision.of("unreadable_value").with("key", key).warn();
            return;
        }
        mKnown.put(id, new KnownOwnership(ownership.get(), item.get().revision()));
        OwnedBatch owned = mOwned.get(id);
        if (owned == null) {
            return;
        }
        if (ownership.get().isEnded()) {
            onEnded(owned, item.get().revision());
        } else if (!ownership.get().owner().equals(mOwner)) {
            onOwnershipLost(owned);
        }
    }

    /** Handles an owner key read for an owned batch; returns whether it is still owned. */
    private boolean onOwnerKeyRead(OwnedBatch owned, Optional<StoredItem> item) {
        item.ifPresent(i -> onOwnerKeyChanged(i.key(), item));
        boolean isMine = item.map(i -> i.revision() == owned.revision()).orElse(false);
        if (!isMine && mOwned.get(owned.batch().id()) == owned) {
            onOwnershipLost(owned);
        }
        return isMine && !owned.isLost();
    }

    private void onEnded(OwnedBatch owned, long revision) {
        if (!owned.isEnded()) {
            Decision.of("batch_ended")
                    .with("batch", owned.batch().id().value())
                    .with("listed", owned.listedCount())
                    .with("open", owned.runs().size())
                    .info();
            owned.onEnded(revision, mNowMs.getAsLong());
        }
    }

    private void onOwnershipLost(OwnedBatch owned) {
        Decision.of("batch_lost").with("batch", owned.batch().id().value()).warn();
        mOwned.remove(owned.batch().id());
        owned.onOwnershipLost();
    }

    // Ending

    /**
     * Ends a batch, regardless of its owner.
     *
     * @param id the batch
     * @param done receives the outcome; {@code not_found} if there is no such batch
     */
    public void end(BatchId id, Consumer<Result<Boolean>> done) {
        mEnder.end(id, done);
    }

    private void onEndedHere(KnownOwnership ended) {
        BatchId id = ended.ownership().id();
        mKnown.put(id, ended);
        Optional.ofNullable(mOwned.get(id)).ifPresent(o -> onEnded(o, ended.revision()));
    }

    // Reading

    /**
     * Reads results of a batch that this process owns.
     *
     * @param id the batch
     * @param after position of the first result
     * @param waitMs how long to wait for a result, in milliseconds
     * @param receiver receives the results
     * @return false if this process does not own the batch, or does not know all its results
     */
    public boolean readResults(BatchId id, int after, long waitMs, Consumer<ResultsView> receiver) {
        OwnedBatch owned = mOwned.get(id);
        if (owned == null || owned.mayBeIncomplete()) {
            return false;
        }
        if (after < owned.listedCount() || waitMs <= 0 || owned.isEnded()) {
            receiver.accept(owned.view(after));
            return true;
        }
        owned.addPendingRead(
                new OwnedBatch.PendingRead(after, mNowMs.getAsLong() + waitMs, receiver::accept));
        return true;
    }

    /**
     * Tells whether this process is the owner.
     *
     * @param ownership the ownership of a batch
     * @return true if it is
     */
    public boolean isOwner(BatchOwnership ownership) {
        return ownership.owner().equals(mOwner);
    }

    /**
     * Finds an item without a listed result in a batch that this process owns.
     *
     * @param id the batch
     * @param item the item
     * @return the item, empty if there is none
     */
    public Optional<BatchItem> unlistedItem(BatchId id, ItemId item) {
        return Optional.ofNullable(mOwned.get(id)).flatMap(o -> o.unlistedItem(item));
    }

    /**
     * Returns the last known ownership of a batch.
     *
     * @param id the batch
     * @return the ownership, empty if this process does not know the batch
     */
    public Optional<KnownOwnership> findOwnership(BatchId id) {
        return mKnown.find(id);
    }

    // Time

    /**
     * Performs the work that is due.
     *
     * @param storeRecoveredMs when the store became available again after an outage, on the
     *     monotonic clock
     * @param isSweeper true if this process takes over orphaned batches and its list of live
     *     processes is reliable
     */
    public void tick(long storeRecoveredMs, boolean isSweeper) {
        long nowMs = mNowMs.getAsLong();
        mDelayed.runDue();
        boolean isSettled = nowMs - storeRecoveredMs > REGISTRATION_GRACE_MS;
        if (!mIsDraining) {
            mAcquirer.takeOverBatches(isSweeper && isSettled && !mIsStopping);
        }
        for (OwnedBatch owned : List.copyOf(mOwned.values())) {
            if (!mIsDraining) {
                mRunner.tick(owned);
                mSaver.tick(owned);
            }
            mAppender.tick(owned);
            owned.completePendingReads(nowMs);
            if (owned.mayLeave(nowMs)) {
                letGo(owned);
            }
        }
    }

    /**
     * Sets whether items wait, because it is not known whether their batches have ended.
     *
     * @param isHeld true if no item may be sent
     */
    public void holdItems(boolean isHeld) {
        mRunner.line().hold(isHeld);
    }

    /** Lets a batch go from memory; from then on it is read from the store. */
    private void letGo(OwnedBatch owned) {
        BatchId id = owned.batch().id();
        mOwned.remove(id);
        if (!owned.isEnded()) {
            mKnown.remove(id);
        }
        Decision.of("batch_let_go")
                .with("batch", id.value())
                .with("listed", owned.listedCount())
                .with("owned", mOwned.size())
                .info();
    }

    /** Stops accepting batches; owned batches continue. */
    public void stopAccepting() {
        mIsStopping = true;
    }

    /** Stops running items and saves their texts; finished results are still appended. */
    public void drain() {
        mIsDraining = true;
        mRunner.line().stop();
        for (OwnedBatch owned : mOwned.values()) {
            mSaver.save(owned);
            owned.runs().forEach(ItemRun::cancelAttempt);
        }
    }

    /**
     * Returns how many batches of this process have work left, with those that are being written or
     * acquired.
     *
     * @return the number of batches
     */
    public int openBatches() {
        int begun = (int) mOwned.values().stream().filter(o -> !o.isDone()).count();
        return begun + mCreator.size() + mAcquirer.size();
    }

    /** Returns how many batches are kept in memory, and owners of batches. */
    int keptCount() {
        return mOwned.size() + mKnown.size();
    }

    /**
     * Returns how many items of owned batches wait for a target.
     *
     * @return the number of items
     */
    public int waitingItems() {
        return mOwned.values().stream().mapToInt(OwnedBatch::waitingCount).sum();
    }

    /**
     * Returns the memory that the owned batches take.
     *
     * @return the bytes
     */
    public long heldBytes() {
        return mOwned.values().stream().mapToLong(OwnedBatch::heldBytes).sum();
    }
}
