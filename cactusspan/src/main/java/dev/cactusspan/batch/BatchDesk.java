package dev.cactusspan.batch;

import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.StoredItem;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * The batches of this process: accepts them, runs what it owns, and takes over what a process that
 * is gone owned.
 */
public final class BatchDesk {

    /** Pause between tries to find out what became of a write, in milliseconds. */
    private static final long RESOLVE_MS = 80;

    /** How long after the store's return processes may need to register again, in milliseconds. */
    private static final long RETURN_MS = 2_000;

    private final BatchStore mStore;
    private final NodeDirectory mNodes;
    private final String mOwner;
    private final Executor mThread;
    private final ItemRunner mRunner;
    private final ResultAppender mAppender;
    private final ProgressSaver mSaver;
    private final LongSupplier mNowMs;
    private final Map<BatchId, OwnedBatch> mOwned = new LinkedHashMap<>();
    private final Map<BatchId, KnownOwnership> mKnown = new HashMap<>();
    private final Set<BatchId> mTaking = new HashSet<>();
    private final DelayedTasks mDelayed = new DelayedTasks();
    private boolean mIsLeaving;
    private boolean mIsDraining;

    /**
     * Creates the desk.
     *
     * @param store the durable records
     * @param nodes the processes that are alive
     * @param owner the name of this process as an owner
     * @param thread the thread on which everything happens
     * @param runner runs items
     * @param appender makes what appends results, given a listener for batches of other processes
     * @param saver keeps the texts that grow
     * @param nowMs steady clock in milliseconds
     */
    BatchDesk(
            BatchStore store,
            NodeDirectory nodes,
            String owner,
            Executor thread,
            ItemRunner runner,
            Function<Consumer<OwnedBatch>, ResultAppender> appender,
            ProgressSaver saver,
            LongSupplier nowMs) {
        mStore = store;
        mNodes = nodes;
        mOwner = owner;
        mThread = thread;
        mRunner = runner;
        mAppender = appender.apply(this::disowned);
        mSaver = saver;
        mNowMs = nowMs;
    }

    // Accepting

    /**
     * Accepts a batch. The outcome is ok once the whole batch is durable, here or at an earlier
     * owner; {@code outcome_unknown} is followed by further tries in the background.
     *
     * @param batch what was submitted
     * @param done takes the outcome
     */
    public void submit(Batch batch, Consumer<Result<Boolean>> done) {
        if (mOwned.containsKey(batch.id()) || mKnown.containsKey(batch.id())) {
            done.accept(Result.of(true));
            return;
        }
        if (mIsLeaving) {
            done.accept(Result.fail(ErrorKind.SHUTTING_DOWN, "the process is stopping"));
            return;
        }
        mTaking.add(batch.id());
        create(
                batch,
                result -> {
                    mTaking.remove(batch.id());
                    done.accept(result);
                },
                true);
    }

    private void create(Batch batch, Consumer<Result<Boolean>> done, boolean isFirst) {
        BatchOwnership ownership =
                new BatchOwnership(
                        batch.id(),
                        batch.account(),
                        mOwner,
                        false,
                        batch.submittedWallMs(),
                        batch.items().size());
        FutureResults.deliver(
                mStore.create(batch, ownership),
                mThread,
                r ->
                        r.fold(
                                f -> createFailed(batch, done, isFirst, f),
                                revision -> created(batch, ownership, revision, done)));
    }

    private Void created(
            Batch batch, BatchOwnership ownership, long revision, Consumer<Result<Boolean>> done) {
        Decision.of("batch_accepted")
                .with("batch", batch.id().value())
                .with("account", batch.account().value())
                .with("step", batch.step())
                .with("model", batch.model().value())
                .with("min_version", batch.minVersion().number())
                .with("items", batch.items().size())
                .with("revision", revision)
                .info();
        mKnown.put(batch.id(), new KnownOwnership(ownership, revision));
        own(StoredBatch.ofNew(batch), revision);
        done.accept(Result.of(true));
        return null;
    }

    private Void createFailed(
            Batch batch, Consumer<Result<Boolean>> done, boolean isFirst, Failure failure) {
        if (failure.kind() == ErrorKind.CONFLICT) {
            lookUp(batch, done);
            return null;
        }
        if (isFirst && failure.kind() != ErrorKind.OUTCOME_UNKNOWN) {
            done.accept(Result.fail(failure));
            return null;
        }
        later(() -> create(batch, done, false));
        return null;
    }

    /** Reads who owns a batch that exists. */
    private void lookUp(Batch batch, Consumer<Result<Boolean>> done) {
        FutureResults.deliver(
                mStore.owner(batch.id()),
                mThread,
                r ->
                        r.fold(
                                f -> {
                                    later(() -> lookUp(batch, done));
                                    return null;
                                },
                                item -> {
                                    item.ifPresent(i -> changed(i.key(), item));
                                    boolean isMine = isMine(batch.id());
                                    if (isMine && !mOwned.containsKey(batch.id())) {
                                        own(
                                                StoredBatch.ofNew(batch),
                                                item.orElseThrow().revision());
                                    }
                                    done.accept(Result.of(true));
                                    return null;
                                }));
    }

    private boolean isMine(BatchId id) {
        KnownOwnership known = mKnown.get(id);
        return known != null
                && known.ownership().owner().equals(mOwner)
                && !known.ownership().isEnded();
    }

    private void own(StoredBatch stored, long revision) {
        mOwned.put(stored.batch().id(), new OwnedBatch(stored, revision));
    }

    private void later(Runnable task) {
        mDelayed.add(mNowMs.getAsLong() + RESOLVE_MS, task);
    }

    // Ownership

    /**
     * Takes a change of an owner's key.
     *
     * @param key the key
     * @param item what it holds, empty if it is gone
     */
    public void changed(String key, Optional<StoredItem> item) {
        BatchId id = BatchStore.batchOf(key);
        if (item.isEmpty()) {
            mKnown.remove(id);
            Optional.ofNullable(mOwned.remove(id)).ifPresent(OwnedBatch::disowned);
            return;
        }
        KnownOwnership held = mKnown.get(id);
        if (held != null && held.revision() >= item.get().revision()) {
            return;
        }
        Result<BatchOwnership> ownership = BatchStore.ownership(item.get());
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
            ended(owned, item.get().revision());
        } else if (!ownership.get().owner().equals(mOwner)) {
            disowned(owned);
        }
    }

    private void ended(OwnedBatch owned, long revision) {
        if (!owned.isEnded()) {
            Decision.of("batch_ended")
                    .with("batch", owned.batch().id().value())
                    .with("listed", owned.listed())
                    .with("open", owned.runs().size())
                    .info();
            owned.ended(revision);
        }
    }

    private void disowned(OwnedBatch owned) {
        Decision.of("batch_lost").with("batch", owned.batch().id().value()).warn();
        mOwned.remove(owned.batch().id());
        owned.disowned();
    }

    /**
     * Takes over batches whose owner holds no lease any more, if this process is chosen for them.
     */
    private void takeOver(boolean isSweeper) {
        for (Map.Entry<BatchId, KnownOwnership> entry : mKnown.entrySet()) {
            BatchOwnership ownership = entry.getValue().ownership();
            BatchId id = entry.getKey();
            if (ownership.isEnded() || mOwned.containsKey(id) || mTaking.contains(id)) {
                continue;
            }
            boolean isOrphan = mNodes.find(ownership.owner()).isEmpty();
            if (ownership.owner().equals(mOwner)) {
                mTaking.add(id);
                loadTaken(id, entry.getValue().revision());
            } else if (isSweeper && isOrphan) {
                take(entry.getValue());
            }
        }
    }

    private void take(KnownOwnership known) {
        BatchId id = known.ownership().id();
        mTaking.add(id);
        BatchOwnership mine = known.ownership().ownedBy(mOwner);
        FutureResults.deliver(
                mStore.putOwnership(mine, known.revision()),
                mThread,
                r ->
                        r.fold(
                                f -> {
                                    if (f.kind() == ErrorKind.CONFLICT) {
                                        refresh(id);
                                    } else {
                                        later(() -> mTaking.remove(id));
                                    }
                                    return null;
                                },
                                revision -> {
                                    Decision.of("batch_taken_over")
                                            .with("batch", id.value())
                                            .with("from", known.ownership().owner())
                                            .info();
                                    mKnown.put(id, new KnownOwnership(mine, revision));
                                    loadTaken(id, revision);
                                    return null;
                                }));
    }

    private void refresh(BatchId id) {
        FutureResults.deliver(
                mStore.owner(id),
                mThread,
                r ->
                        r.fold(
                                f -> {
                                    later(() -> refresh(id));
                                    return null;
                                },
                                item -> {
                                    item.ifPresent(i -> changed(i.key(), item));
                                    mTaking.remove(id);
                                    if (isMine(id) && !mOwned.containsKey(id)) {
                                        mTaking.add(id);
                                        loadTaken(id, item.orElseThrow().revision());
                                    }
                                    return null;
                                }));
    }

    private void loadTaken(BatchId id, long revision) {
        FutureResults.deliver(
                mStore.load(id),
                mThread,
                (Result<StoredBatch> r) ->
                        r.fold(
                                f -> {
                                    later(() -> loadTaken(id, revision));
                                    return null;
                                },
                                stored -> {
                                    mTaking.remove(id);
                                    if (isMine(id) && !mOwned.containsKey(id)) {
                                        own(stored, revision);
                                    }
                                    return null;
                                }));
    }

    // Ending

    /**
     * Ends a batch, whoever owns it.
     *
     * @param id the batch
     * @param done takes the outcome; {@code not_found} if there is no such batch
     */
    public void end(BatchId id, Consumer<Result<Boolean>> done) {
        KnownOwnership known = mKnown.get(id);
        if (known != null && known.ownership().isEnded()) {
            done.accept(Result.of(true));
            return;
        }
        if (known == null) {
            readThenEnd(id, done);
            return;
        }
        BatchOwnership ended = known.ownership().ended();
        FutureResults.deliver(
                mStore.putOwnership(ended, known.revision()),
                mThread,
                r ->
                        r.fold(
                                f -> {
                                    if (f.kind() == ErrorKind.PLATFORM_UNAVAILABLE) {
                                        done.accept(Result.fail(f));
                                    } else {
                                        readThenEnd(id, done);
                                    }
                                    return null;
                                },
                                revision -> {
                                    mKnown.put(id, new KnownOwnership(ended, revision));
                                    OwnedBatch owned = mOwned.get(id);
                                    if (owned != null) {
                                        ended(owned, revision);
                                    }
                                    done.accept(Result.of(true));
                                    return null;
                                }));
    }

    private void readThenEnd(BatchId id, Consumer<Result<Boolean>> done) {
        FutureResults.deliver(
                mStore.owner(id),
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
                                    changed(item.get().key(), item);
                                    end(id, done);
                                    return null;
                                }));
    }

    // Reading

    /**
     * Reads results of a batch that this process owns.
     *
     * @param id the batch
     * @param after first position
     * @param waitMs how long to wait for a result
     * @param taker takes the results
     * @return false if this process does not own the batch
     */
    public boolean read(BatchId id, int after, long waitMs, Consumer<ResultsView> taker) {
        OwnedBatch owned = mOwned.get(id);
        if (owned == null) {
            return false;
        }
        if (after < owned.listed() || waitMs <= 0 || owned.isEnded()) {
            taker.accept(owned.view(after));
            return true;
        }
        owned.await(new OwnedBatch.Waiter(after, mNowMs.getAsLong() + waitMs, taker::accept));
        return true;
    }

    /**
     * Finds an item that is not listed in a batch that this process owns.
     *
     * @param id the batch
     * @param item the item
     * @return the item, empty if there is none
     */
    public Optional<BatchItem> unlistedItem(BatchId id, ItemId item) {
        return Optional.ofNullable(mOwned.get(id)).flatMap(o -> o.unlistedItem(item));
    }

    /**
     * Returns what is known of a batch's owner.
     *
     * @param id the batch
     * @return the ownership, empty if the batch is not known here
     */
    public Optional<KnownOwnership> known(BatchId id) {
        return Optional.ofNullable(mKnown.get(id));
    }

    // Time

    /**
     * Runs what is due.
     *
     * @param storeRecoveredMs when the store answered again after an outage, steady clock
     * @param isSweeper true if this process takes over what others leave, and its list of live
     *     processes can be relied on
     */
    public void tick(long storeRecoveredMs, boolean isSweeper) {
        long nowMs = mNowMs.getAsLong();
        mDelayed.run(nowMs);
        boolean isSettled = nowMs - storeRecoveredMs > RETURN_MS;
        if (!mIsLeaving) {
            takeOver(isSweeper && isSettled);
        }
        for (OwnedBatch owned : List.copyOf(mOwned.values())) {
            if (!mIsDraining) {
                mRunner.tick(owned);
                mSaver.tick(owned);
            }
            mAppender.tick(owned);
            owned.wake(nowMs);
        }
    }

    /** Accepts no batch any more; what is owned goes on. */
    public void leave() {
        mIsLeaving = true;
    }

    /** Stops running items and keeps their texts; what is finished is still appended. */
    public void drain() {
        mIsDraining = true;
        for (OwnedBatch owned : mOwned.values()) {
            mSaver.save(owned);
            owned.runs().forEach(ItemRun::breakOff);
        }
    }

    /**
     * Returns how many batches this process owns that have work left.
     *
     * @return batches
     */
    public int openBatches() {
        return (int) mOwned.values().stream().filter(o -> !o.isDone()).count();
    }
}
