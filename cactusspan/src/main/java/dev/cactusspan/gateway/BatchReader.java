package dev.cactusspan.gateway;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import dev.cactusspan.batch.BatchManager;
import dev.cactusspan.batch.BatchStore;
import dev.cactusspan.batch.ItemResult;
import dev.cactusspan.batch.KnownOwnership;
import dev.cactusspan.batch.ResultsView;
import dev.cactusspan.batch.StoredBatch;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.peer.NodeRecord;
import dev.cactusspan.peer.PeerClient;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.wire.Message;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Reads batches from this process if it owns them, else from the owner, or from the store if the
 * owner does not respond. Only the store, never a missing response, proves that a batch is absent.
 */
final class BatchReader {
    /** Time allowed to the owner beyond the requested wait, in milliseconds. */
    private static final long OWNER_SLACK_MS = 300;

    /** Number of ended batches to cache; their results do not change any more. */
    private static final int MAX_CACHED = 64;

    private final BatchManager mManager;
    private final BatchStore mStore;
    private final NodeDirectory mNodes;
    private final PeerClient mPeers;
    private final Executor mThread;
    private final Cache<BatchId, List<ItemResult>> mEndedResults =
            CacheBuilder.newBuilder().maximumSize(MAX_CACHED).build();

    BatchReader(
            BatchManager manager,
            BatchStore store,
            NodeDirectory nodes,
            PeerClient peers,
            Executor thread) {
        mManager = manager;
        mStore = store;
        mNodes = nodes;
        mPeers = peers;
        mThread = thread;
    }

    // Ownership

    /** Finds the owner of a batch of a client account. */
    void locate(BatchId id, AccountId account, Consumer<Result<KnownOwnership>> consumer) {
        Optional<KnownOwnership> known = mManager.findOwnership(id);
        if (known.isPresent()) {
            consumer.accept(checkAccount(known.get(), id, account));
            return;
        }
        FutureResults.deliver(
                mStore.readOwnerKey(id),
                mThread,
                (Result<Optional<StoredItem>> r) ->
                        r.fold(
                                f -> {
                                    consumer.accept(Result.fail(f));
                                    return null;
                                },
                                item -> {
                                    item.ifPresent(i -> mManager.onOwnerKeyChanged(i.key(), item));
                                    consumer.accept(
                                            mManager.findOwnership(id)
                                                    .map(k -> checkAccount(k, id, account))
                                                    .orElse(notFound(id)));
                                    return null;
                                }));
    }

    private static Result<KnownOwnership> checkAccount(
            KnownOwnership known, BatchId id, AccountId account) {
        return known.ownership().account().equals(account) ? Result.of(known) : notFound(id);
    }

    private static <T> Result<T> notFound(BatchId id) {
        return Result.fail(ErrorKind.NOT_FOUND, "no batch " + id);
    }

    // Results

    void readResults(
            KnownOwnership known, int after, long waitMs, Consumer<Result<ResultsView>> consumer) {
        BatchId id = known.ownership().id();
        if (mManager.readResults(id, after, waitMs, view -> consumer.accept(Result.of(view)))) {
            return;
        }
        Optional<NodeRecord> owner = mNodes.find(known.ownership().owner());
        boolean isOwnUncertain = mManager.isOwner(known.ownership());
        if (owner.isEmpty() || known.ownership().isEnded() || isOwnUncertain) {
            refreshOwner(id, fresh -> readStoredResults(fresh.orElse(known), after, consumer));
            return;
        }
        FutureResults.deliver(
                mPeers.request(
                        owner.get(),
                        number -> new Message.ResultsRequest(number, id, after, waitMs),
                        waitMs + OWNER_SLACK_MS),
                mThread,
                (Result<Message.Reply> r) ->
                        r.flatMap(BatchReader::readView)
                                .fold(
                                        f -> {
                                            refreshOwner(
                                                    id,
                                                    k ->
                                                            readStoredResults(
                                                                    k.orElse(known),
                                                                    after,
                                                                    consumer));
                                            return null;
                                        },
                                        view -> {
                                            consumer.accept(Result.of(view));
                                            return null;
                                        }));
    }

    /**
     * Reads the owner of a batch from the store, as this process watches owners only while it owns
     * batches itself or is the sweeper.
     */
    private void refreshOwner(BatchId id, Consumer<Optional<KnownOwnership>> consumer) {
        Optional<KnownOwnership> cached = mManager.findOwnership(id);
        if (cached.map(k -> k.ownership().isEnded()).orElse(false)) {
            consumer.accept(cached);
            return;
        }
        FutureResults.deliver(
                mStore.readOwnerKey(id),
                mThread,
                (Result<Optional<StoredItem>> r) ->
                        r.fold(
                                f -> {
                                    consumer.accept(cached);
                                    return null;
                                },
                                item -> {
                                    item.ifPresent(i -> mManager.onOwnerKeyChanged(i.key(), item));
                                    consumer.accept(mManager.findOwnership(id));
                                    return null;
                                }));
    }

    private static Result<ResultsView> readView(Message.Reply reply) {
        return reply.outcome() == Message.Reply.Outcome.FOUND
                ? JsonText.read(reply.body(), ResultsView.class)
                : Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, "the asked process is not the owner");
    }

    private void readStoredResults(
            KnownOwnership known, int after, Consumer<Result<ResultsView>> consumer) {
        loadResults(
                known,
                r ->
                        consumer.accept(
                                r.map(
                                        results ->
                                                ResultsView.of(
                                                        known.ownership().total(),
                                                        results,
                                                        after))));
    }

    /** Reads the results of a batch; the bodies of its items stay in the store. */
    private void loadResults(KnownOwnership known, Consumer<Result<List<ItemResult>>> consumer) {
        BatchId id = known.ownership().id();
        List<ItemResult> cached = mEndedResults.getIfPresent(id);
        if (cached != null) {
            consumer.accept(Result.of(cached));
            return;
        }
        FutureResults.deliver(
                mStore.loadResults(id),
                mThread,
                (Result<List<ItemResult>> r) -> {
                    boolean isFinal = known.ownership().isEnded() && r.isOk();
                    if (isFinal) {
                        mEndedResults.put(id, r.get());
                    }
                    consumer.accept(asUnavailable(r));
                });
    }

    /**
     * Reads a batch for a client that asks this process for a body. A call through another process
     * passes only through those in the regions to which the batch is bound.
     */
    private void load(KnownOwnership known, Consumer<Result<StoredBatch>> consumer) {
        FutureResults.deliver(
                mStore.load(known.ownership().id(), known.ownership().residency()),
                mThread,
                (Result<StoredBatch> r) -> consumer.accept(asUnavailable(r)));
    }

    /** The owner's key exists, so a missing page does not prove that there is no batch. */
    private static <T> Result<T> asUnavailable(Result<T> result) {
        return result.fold(
                f -> Result.fail(Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, f.detail())),
                Result::of);
    }

    // Items

    void readItem(KnownOwnership known, ItemId item, Consumer<Result<byte[]>> consumer) {
        BatchId id = known.ownership().id();
        if (known.ownership().isEnded()) {
            consumer.accept(Result.fail(ErrorKind.NOT_FOUND, "the batch has ended"));
            return;
        }
        if (mManager.readResults(id, 0, 0, view -> {})) {
            consumer.accept(
                    mManager.unlistedItem(id, item)
                            .map(i -> Result.of(i.body()))
                            .orElse(Result.fail(ErrorKind.NOT_FOUND, "no open item " + item)));
            return;
        }
        load(
                known,
                r ->
                        consumer.accept(
                                r.flatMap(
                                        stored -> {
                                            boolean isListed =
                                                    stored.results().stream()
                                                            .anyMatch(x -> x.id().equals(item));
                                            return stored.batch().items().stream()
                                                    .filter(i -> !isListed && i.id().equals(item))
                                                    .findFirst()
                                                    .map(i -> Result.of(i.body()))
                                                    .orElse(
                                                            Result.fail(
                                                                    ErrorKind.NOT_FOUND,
                                                                    "no open item " + item));
                                        })));
    }

    /** Responds to a request of another process. */
    void respond(Message request, PeerClient.ReplyConsumer consumer) {
        if (request instanceof Message.ResultsRequest resultsRequest) {
            boolean isOwner =
                    mManager.readResults(
                            resultsRequest.batch(),
                            resultsRequest.after(),
                            resultsRequest.waitMs(),
                            view ->
                                    consumer.accept(
                                            new Message.Reply(
                                                    resultsRequest.ask(),
                                                    Message.Reply.Outcome.FOUND,
                                                    JsonText.write(view))));
            if (!isOwner) {
                consumer.accept(
                        new Message.Reply(
                                resultsRequest.ask(),
                                Message.Reply.Outcome.NOT_OWNER,
                                new byte[0]));
            }
        }
    }
}
