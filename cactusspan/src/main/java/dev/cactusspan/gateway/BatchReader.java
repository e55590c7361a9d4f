package dev.cactusspan.gateway;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import dev.cactusspan.batch.BatchDesk;
import dev.cactusspan.batch.BatchStore;
import dev.cactusspan.batch.KnownOwnership;
import dev.cactusspan.batch.ResultsView;
import dev.cactusspan.batch.StoredBatch;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.peer.NodeRecord;
import dev.cactusspan.peer.PeerCalls;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.wire.Message;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Reads batches wherever they are owned: from this process, from the owner, and from the store when
 * the owner does not answer. Only the store's own word makes a batch absent.
 */
final class BatchReader {
    /** How much longer than its wait the owner may take, in milliseconds. */
    private static final long ASK_SLACK_MS = 300;

    /** Ended batches whose results are kept, as they do not change any more. */
    private static final int MAX_CACHED = 64;

    private final BatchDesk mDesk;
    private final BatchStore mStore;
    private final NodeDirectory mNodes;
    private final PeerCalls mPeers;
    private final Executor mThread;
    private final Cache<BatchId, StoredBatch> mEnded =
            CacheBuilder.newBuilder().maximumSize(MAX_CACHED).build();

    BatchReader(
            BatchDesk desk,
            BatchStore store,
            NodeDirectory nodes,
            PeerCalls peers,
            Executor thread) {
        mDesk = desk;
        mStore = store;
        mNodes = nodes;
        mPeers = peers;
        mThread = thread;
    }

    // Ownership

    /** Finds out who owns a batch of a client account. */
    void locate(BatchId id, AccountId account, Consumer<Result<KnownOwnership>> taker) {
        Optional<KnownOwnership> known = mDesk.known(id);
        if (known.isPresent()) {
            taker.accept(checked(known.get(), id, account));
            return;
        }
        FutureResults.deliver(
                mStore.owner(id),
                mThread,
                (Result<Optional<StoredItem>> r) ->
                        r.fold(
                                f -> {
                                    taker.accept(Result.fail(f));
                                    return null;
                                },
                                item -> {
                                    item.ifPresent(i -> mDesk.changed(i.key(), item));
                                    taker.accept(
                                            mDesk.known(id)
                                                    .map(k -> checked(k, id, account))
                                                    .orElse(absent(id)));
                                    return null;
                                }));
    }

    private static Result<KnownOwnership> checked(
            KnownOwnership known, BatchId id, AccountId account) {
        return known.ownership().account().equals(account) ? Result.of(known) : absent(id);
    }

    private static <T> Result<T> absent(BatchId id) {
        return Result.fail(ErrorKind.NOT_FOUND, "no batch " + id);
    }

    // Results

    void results(
            KnownOwnership known, int after, long waitMs, Consumer<Result<ResultsView>> taker) {
        BatchId id = known.ownership().id();
        if (mDesk.read(id, after, waitMs, view -> taker.accept(Result.of(view)))) {
            return;
        }
        Optional<NodeRecord> owner = mNodes.find(known.ownership().owner());
        if (owner.isEmpty() || known.ownership().isEnded()) {
            refreshed(id, fresh -> stored(fresh.orElse(known), after, taker));
            return;
        }
        FutureResults.deliver(
                mPeers.ask(
                        owner.get(),
                        ask -> new Message.AskResults(ask, id, after, waitMs),
                        waitMs + ASK_SLACK_MS),
                mThread,
                (Result<Message.Reply> r) ->
                        r.flatMap(BatchReader::view)
                                .fold(
                                        f -> {
                                            refreshed(
                                                    id, k -> stored(k.orElse(known), after, taker));
                                            return null;
                                        },
                                        view -> {
                                            taker.accept(Result.of(view));
                                            return null;
                                        }));
    }

    /** Reads who owns a batch, as this process follows owners only while it owns batches itself. */
    private void refreshed(BatchId id, Consumer<Optional<KnownOwnership>> taker) {
        Optional<KnownOwnership> held = mDesk.known(id);
        if (held.map(k -> k.ownership().isEnded()).orElse(false)) {
            taker.accept(held);
            return;
        }
        FutureResults.deliver(
                mStore.owner(id),
                mThread,
                (Result<Optional<StoredItem>> r) ->
                        r.fold(
                                f -> {
                                    taker.accept(held);
                                    return null;
                                },
                                item -> {
                                    item.ifPresent(i -> mDesk.changed(i.key(), item));
                                    taker.accept(mDesk.known(id));
                                    return null;
                                }));
    }

    private static Result<ResultsView> view(Message.Reply reply) {
        return reply.outcome() == Message.Reply.Outcome.FOUND
                ? JsonText.read(reply.body(), ResultsView.class)
                : Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, "the asked process is not the owner");
    }

    private void stored(KnownOwnership known, int after, Consumer<Result<ResultsView>> taker) {
        load(
                known,
                r ->
                        taker.accept(
                                r.map(
                                        stored ->
                                                ResultsView.of(
                                                        known.ownership().total(),
                                                        stored.results(),
                                                        after))));
    }

    private void load(KnownOwnership known, Consumer<Result<StoredBatch>> taker) {
        BatchId id = known.ownership().id();
        StoredBatch cached = mEnded.getIfPresent(id);
        if (cached != null) {
            taker.accept(Result.of(cached));
            return;
        }
        FutureResults.deliver(
                mStore.load(id),
                mThread,
                (Result<StoredBatch> r) -> {
                    boolean isFinal = known.ownership().isEnded() && r.isOk();
                    if (isFinal) {
                        mEnded.put(id, r.get());
                    }
                    // A batch whose owner's key exists is not absent, whatever a page lacks.
                    taker.accept(
                            r.fold(
                                    f ->
                                            Result.fail(
                                                    Failure.of(
                                                            ErrorKind.PLATFORM_UNAVAILABLE,
                                                            f.detail())),
                                    Result::of));
                });
    }

    // Items

    void item(KnownOwnership known, ItemId item, Consumer<Result<byte[]>> taker) {
        BatchId id = known.ownership().id();
        if (known.ownership().isEnded()) {
            taker.accept(Result.fail(ErrorKind.NOT_FOUND, "the batch has ended"));
            return;
        }
        if (mDesk.read(id, 0, 0, view -> {})) {
            taker.accept(
                    mDesk.unlistedItem(id, item)
                            .map(i -> Result.of(i.body()))
                            .orElse(Result.fail(ErrorKind.NOT_FOUND, "no open item " + item)));
            return;
        }
        load(
                known,
                r ->
                        taker.accept(
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

    /** Answers another process's question. */
    void answer(Message question, PeerCalls.ReplyTaker taker) {
        if (question instanceof Message.AskResults ask) {
            boolean isOwner =
                    mDesk.read(
                            ask.batch(),
                            ask.after(),
                            ask.waitMs(),
                            view ->
                                    taker.take(
                                            new Message.Reply(
                                                    ask.ask(),
                                                    Message.Reply.Outcome.FOUND,
                                                    JsonText.write(view))));
            if (!isOwner) {
                taker.take(
                        new Message.Reply(ask.ask(), Message.Reply.Outcome.NOT_OWNER, new byte[0]));
            }
        }
    }
}
