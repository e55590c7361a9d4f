package dev.cactusspan.peer;

import dev.cactusspan.observe.Decision;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.store.Transaction;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.wire.Message;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Calls the store directly, or through another process while this one cannot reach it: the store
 * may refuse some processes and serve others. Watches and new leases are never relayed.
 */
public final class RelayedStore implements KeyStore {
    /** Time-out of a call through another process, in milliseconds. */
    private static final long RELAY_MS = 1_200;

    /**
     * Time after a failure during which calls are relayed, in milliseconds. Doubled with each
     * further failure, {@link #MAX_DOUBLINGS} times at most.
     */
    private static final long LOST_MS = 800;

    private static final int MAX_DOUBLINGS = 2;

    /** Time after a failed relay during which no call is relayed, in milliseconds. */
    private static final long USELESS_MS = 1_000;

    private final KeyStore mDirect;
    private final NodeDirectory mNodes;
    private final PeerCalls mPeers;
    private final String mSelf;
    private final Executor mThread;
    private final SplittableRandom mRandom;
    private final LongSupplier mNowMs;
    private int mFailures;
    private long mLostUntilMs;
    private long mUselessUntilMs;

    /**
     * Creates a store.
     *
     * @param direct sends calls to the store itself
     * @param nodes the processes that can relay
     * @param peers sends requests to them
     * @param self this process's owner name
     * @param thread runs the callbacks; all methods are called on its thread
     * @param random source of randomness
     * @param nowMs monotonic clock in milliseconds
     */
    public RelayedStore(
            KeyStore direct,
            NodeDirectory nodes,
            PeerCalls peers,
            String self,
            Executor thread,
            SplittableRandom random,
            LongSupplier nowMs) {
        mDirect = direct;
        mNodes = nodes;
        mPeers = peers;
        mSelf = self;
        mThread = thread;
        mRandom = random;
        mNowMs = nowMs;
    }

    // Operations

    @Override
    public CompletableFuture<Result<Optional<StoredItem>>> get(String key) {
        return ask(
                () -> mDirect.get(key),
                StoreCall.get(key),
                answer -> answer.items().stream().findFirst());
    }

    @Override
    public CompletableFuture<Result<Page>> range(String prefix, String after) {
        return ask(
                () -> mDirect.range(prefix, after),
                StoreCall.range(prefix, after),
                answer -> new Page(answer.items(), answer.hasMore(), answer.number()));
    }

    @Override
    public CompletableFuture<Result<Long>> commit(Transaction transaction) {
        return ask(
                () -> mDirect.commit(transaction),
                StoreCall.commit(transaction),
                StoreAnswer::number);
    }

    @Override
    public CompletableFuture<Result<Long>> renewLease(long lease) {
        return ask(() -> mDirect.renewLease(lease), StoreCall.renew(lease), StoreAnswer::number);
    }

    @Override
    public CompletableFuture<Result<Changes>> watch(
            String prefix, long afterRevision, long waitMs) {
        return mDirect.watch(prefix, afterRevision, waitMs);
    }

    @Override
    public CompletableFuture<Result<Long>> grantLease(long ttlMs) {
        return mDirect.grantLease(ttlMs);
    }

    @Override
    public CompletableFuture<Result<Boolean>> endLease(long lease) {
        return mDirect.endLease(lease);
    }

    private <T> CompletableFuture<Result<T>> ask(
            Supplier<CompletableFuture<Result<T>>> direct,
            StoreCall call,
            Function<StoreAnswer, T> reader) {
        long nowMs = mNowMs.getAsLong();
        boolean isRelayed = nowMs < mLostUntilMs && nowMs >= mUselessUntilMs;
        if (isRelayed) {
            return relay(call, reader);
        }
        return direct.get()
                .thenComposeAsync(
                        result -> {
                            boolean isUnreached = noted(result);
                            return isUnreached && mNowMs.getAsLong() >= mUselessUntilMs
                                    ? relay(call, reader)
                                    : CompletableFuture.completedFuture(result);
                        },
                        mThread);
    }

    /** Records the outcome of a direct call; returns true if it certainly took no effect. */
    private boolean noted(Result<?> result) {
        Optional<ErrorKind> failure =
                result.fold(f -> Optional.of(f.kind()), value -> Optional.empty());
        boolean isUnreached = failure.equals(Optional.of(ErrorKind.PLATFORM_UNAVAILABLE));
        if (!isUnreached && !failure.equals(Optional.of(ErrorKind.OUTCOME_UNKNOWN))) {
            mFailures = 0;
            mLostUntilMs = 0;
            return false;
        }
        mLostUntilMs = mNowMs.getAsLong() + (LOST_MS << Math.min(MAX_DOUBLINGS, mFailures));
        mFailures++;
        return isUnreached;
    }

    private <T> CompletableFuture<Result<T>> relay(
            StoreCall call, Function<StoreAnswer, T> reader) {
        List<NodeRecord> others =
                mNodes.all().stream().filter(n -> !n.owner().equals(mSelf)).toList();
        if (others.isEmpty()) {
            return CompletableFuture.completedFuture(
                    Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, "no other process is known"));
        }
        NodeRecord node = others.get(mRandom.nextInt(others.size()));
        byte[] body = JsonText.write(call);
        return mPeers.ask(node, ask -> new Message.AskStore(ask, body), RELAY_MS)
                .thenApplyAsync(r -> relayed(call, node, r).flatMap(a -> a.map(reader)), mThread);
    }

    private Result<StoreAnswer> relayed(
            StoreCall call, NodeRecord node, Result<Message.Reply> reply) {
        // A request that was sent may have taken effect even if no reply arrived.
        Result<StoreAnswer> answer =
                reply.fold(
                        f -> Result.fail(ErrorKind.OUTCOME_UNKNOWN, f.detail()),
                        r -> JsonText.read(r.body(), StoreAnswer.class));
        boolean isUseless =
                answer.fold(
                        f -> true,
                        a -> a.failure().equals(Optional.of(ErrorKind.PLATFORM_UNAVAILABLE)));
        if (isUseless) {
            mUselessUntilMs = mNowMs.getAsLong() + USELESS_MS;
        }
        Decision.of("store_relayed")
                .with("call", call.kind().name())
                .with("through", node.owner())
                .with("is_answered", !isUseless)
                .info();
        return answer;
    }

    /**
     * Calls the store on behalf of another process.
     *
     * @param question the request
     * @param direct sends calls to the store itself
     * @param taker receives the reply
     */
    public static void answer(
            Message.AskStore question, KeyStore direct, PeerCalls.ReplyTaker taker) {
        Result<StoreCall> call = JsonText.read(question.body(), StoreCall.class);
        call.fold(
                f -> {
                    reply(question, StoreAnswer.number(Result.fail(f)), taker);
                    return null;
                },
                c -> {
                    var unused =
                            asked(c, direct).thenAccept(answer -> reply(question, answer, taker));
                    return null;
                });
    }

    private static void reply(
            Message.AskStore question, StoreAnswer answer, PeerCalls.ReplyTaker taker) {
        taker.take(
                new Message.Reply(
                        question.ask(), Message.Reply.Outcome.FOUND, JsonText.write(answer)));
    }

    private static CompletableFuture<StoreAnswer> asked(StoreCall call, KeyStore direct) {
        return switch (call.kind()) {
            case GET -> direct.get(call.key()).thenApply(StoreAnswer::item);
            case RANGE -> direct.range(call.key(), call.after()).thenApply(StoreAnswer::page);
            case COMMIT -> direct.commit(call.transaction()).thenApply(StoreAnswer::number);
            case RENEW -> direct.renewLease(call.lease()).thenApply(StoreAnswer::number);
        };
    }
}
