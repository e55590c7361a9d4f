package dev.cactusspan.peer;

import dev.cactusspan.observe.Decision;
import dev.cactusspan.region.RegionMap;
import dev.cactusspan.region.Residency;
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
    private static final long RELAY_TIMEOUT_MS = 1_200;

    /**
     * Time after a failure during which calls are relayed, in milliseconds. Doubled with each
     * further failure, {@link #MAX_DOUBLINGS} times at most.
     */
    private static final long RELAY_PERIOD_MS = 800;

    private static final int MAX_DOUBLINGS = 2;

    /** Time after a failed relay during which no call is relayed, in milliseconds. */
    private static final long NO_RELAY_PERIOD_MS = 1_000;

    private final KeyStore mDirect;
    private final RelayRule mRelays;
    private final PeerClient mPeers;
    private final Executor mThread;
    private final SplittableRandom mRandom;
    private final LongSupplier mNowMs;
    private int mFailures;
    private long mRelayUntilMs;
    private long mNoRelayUntilMs;

    /**
     * Creates a store.
     *
     * @param direct sends calls to the store itself
     * @param nodes the processes that can relay
     * @param peers sends requests to them
     * @param regions region of each availability zone
     * @param self this process's owner name
     * @param thread runs the callbacks; all methods are called on its thread
     * @param random source of randomness
     * @param nowMs monotonic clock in milliseconds
     */
    public RelayedStore(
            KeyStore direct,
            NodeDirectory nodes,
            PeerClient peers,
            RegionMap regions,
            String self,
            Executor thread,
            SplittableRandom random,
            LongSupplier nowMs) {
        mDirect = direct;
        mRelays = new RelayRule(nodes, regions, self);
        mPeers = peers;
        mThread = thread;
        mRandom = random;
        mNowMs = nowMs;
    }

    // Operations

    @Override
    public CompletableFuture<Result<Optional<StoredItem>>> get(String key) {
        return get(Residency.ANYWHERE, key);
    }

    private CompletableFuture<Result<Optional<StoredItem>>> get(Residency residency, String key) {
        return call(
                residency,
                () -> mDirect.get(key),
                StoreOperation.get(key),
                response -> response.items().stream().findFirst());
    }

    @Override
    public CompletableFuture<Result<Page>> range(String prefix, String after) {
        return range(Residency.ANYWHERE, prefix, after);
    }

    private CompletableFuture<Result<Page>> range(
            Residency residency, String prefix, String after) {
        return call(
                residency,
                () -> mDirect.range(prefix, after),
                StoreOperation.range(prefix, after),
                response -> new Page(response.items(), response.hasMore(), response.number()));
    }

    @Override
    public CompletableFuture<Result<Long>> commit(Transaction transaction) {
        return commit(Residency.ANYWHERE, transaction);
    }

    private CompletableFuture<Result<Long>> commit(Residency residency, Transaction transaction) {
        return call(
                residency,
                () -> mDirect.commit(transaction),
                StoreOperation.commit(transaction),
                StoreResponse::number);
    }

    @Override
    public CompletableFuture<Result<Long>> renewLease(long lease) {
        return call(
                Residency.ANYWHERE,
                () -> mDirect.renewLease(lease),
                StoreOperation.renew(lease),
                StoreResponse::number);
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

    @Override
    public boolean isDirect() {
        return mFailures == 0;
    }

    @Override
    public KeyStore within(Residency residency) {
        return residency.isBound() ? new BoundStore(residency) : this;
    }

    /** Relays calls only through processes in the regions to which a request is bound. */
    private final class BoundStore implements KeyStore {
        private final Residency mResidency;

        BoundStore(Residency residency) {
            mResidency = residency;
        }

        @Override
        public CompletableFuture<Result<Optional<StoredItem>>> get(String key) {
            return RelayedStore.this.get(mResidency, key);
        }

        @Override
        public CompletableFuture<Result<Page>> range(String prefix, String after) {
            return RelayedStore.this.range(mResidency, prefix, after);
        }

        @Override
        public CompletableFuture<Result<Changes>> watch(
                String prefix, long afterRevision, long waitMs) {
            return RelayedStore.this.watch(prefix, afterRevision, waitMs);
        }

        @Override
        public CompletableFuture<Result<Long>> commit(Transaction transaction) {
            return RelayedStore.this.commit(mResidency, transaction);
        }

        @Override
        public CompletableFuture<Result<Long>> grantLease(long ttlMs) {
            return RelayedStore.this.grantLease(ttlMs);
        }

        @Override
        public CompletableFuture<Result<Long>> renewLease(long lease) {
            return RelayedStore.this.renewLease(lease);
        }

        @Override
        public CompletableFuture<Result<Boolean>> endLease(long lease) {
            return RelayedStore.this.endLease(lease);
        }
    }

    private <T> CompletableFuture<Result<T>> call(
            Residency residency,
            Supplier<CompletableFuture<Result<T>>> direct,
            StoreOperation operation,
            Function<StoreResponse, T> mapper) {
        long nowMs = mNowMs.getAsLong();
        boolean isRelayed = nowMs < mRelayUntilMs && nowMs >= mNoRelayUntilMs;
        if (isRelayed) {
            return relay(residency, operation, mapper);
        }
        return direct.get()
                .thenComposeAsync(
                        result -> {
                            boolean isUnreachable = recordOutcome(result);
                            return isUnreachable && mNowMs.getAsLong() >= mNoRelayUntilMs
                                    ? relay(residency, operation, mapper)
                                    : CompletableFuture.completedFuture(result);
                        },
                        mThread);
    }

    /** Records the outcome of a direct call; returns true if it certainly took no effect. */
    private boolean recordOutcome(Result<?> result) {
        Optional<ErrorKind> failure =
                result.fold(f -> Optional.of(f.kind()), value -> Optional.empty());
        boolean isUnreachable = failure.equals(Optional.of(ErrorKind.PLATFORM_UNAVAILABLE));
        if (!isUnreachable && !failure.equals(Optional.of(ErrorKind.OUTCOME_UNKNOWN))) {
            mFailures = 0;
            mRelayUntilMs = 0;
            return false;
        }
        mRelayUntilMs =
                mNowMs.getAsLong() + (RELAY_PERIOD_MS << Math.min(MAX_DOUBLINGS, mFailures));
        mFailures++;
        return isUnreachable;
    }

    private <T> CompletableFuture<Result<T>> relay(
            Residency residency, StoreOperation operation, Function<StoreResponse, T> mapper) {
        List<NodeRecord> others = mRelays.relays(residency);
        if (others.isEmpty()) {
            return CompletableFuture.completedFuture(
                    Result.fail(
                            ErrorKind.PLATFORM_UNAVAILABLE,
                            "no other process is known in " + residency));
        }
        NodeRecord node = others.get(mRandom.nextInt(others.size()));
        byte[] body = JsonText.write(operation);
        return mPeers.request(
                        node, number -> new Message.StoreRequest(number, body), RELAY_TIMEOUT_MS)
                .thenApplyAsync(
                        r -> readRelayed(operation, node, r).flatMap(a -> a.map(mapper)), mThread);
    }

    private Result<StoreResponse> readRelayed(
            StoreOperation operation, NodeRecord node, Result<Message.Reply> reply) {
        // A request that was sent may have taken effect even if no reply arrived.
        Result<StoreResponse> response =
                reply.fold(
                        f -> Result.fail(ErrorKind.OUTCOME_UNKNOWN, f.detail()),
                        r -> JsonText.read(r.body(), StoreResponse.class));
        boolean hasFailed =
                response.fold(
                        f -> true,
                        a -> a.failure().equals(Optional.of(ErrorKind.PLATFORM_UNAVAILABLE)));
        if (hasFailed) {
            mNoRelayUntilMs = mNowMs.getAsLong() + NO_RELAY_PERIOD_MS;
        }
        Decision.of("store_relayed")
                .with("call", operation.kind().name())
                .with("through", node.owner())
                .with("is_answered", !hasFailed)
                .info();
        return response;
    }

    /**
     * Calls the store on behalf of another process.
     *
     * @param request the request
     * @param direct sends calls to the store itself
     * @param consumer receives the reply
     */
    public static void respond(
            Message.StoreRequest request, KeyStore direct, PeerClient.ReplyConsumer consumer) {
        Result<StoreOperation> operation = JsonText.read(request.body(), StoreOperation.class);
        operation.fold(
                f -> {
                    sendReply(request, StoreResponse.number(Result.fail(f)), consumer);
                    return null;
                },
                c -> {
                    var unused =
                            execute(c, direct)
                                    .thenAccept(response -> sendReply(request, response, consumer));
                    return null;
                });
    }

    private static void sendReply(
            Message.StoreRequest request,
            StoreResponse response,
            PeerClient.ReplyConsumer consumer) {
        consumer.accept(
                new Message.Reply(
                        request.ask(), Message.Reply.Outcome.FOUND, JsonText.write(response)));
    }

    private static CompletableFuture<StoreResponse> execute(
            StoreOperation operation, KeyStore direct) {
        return switch (operation.kind()) {
            case GET -> direct.get(operation.key()).thenApply(StoreResponse::item);
            case RANGE ->
                    direct.range(operation.key(), operation.after()).thenApply(StoreResponse::page);
            case COMMIT -> direct.commit(operation.transaction()).thenApply(StoreResponse::number);
            case RENEW -> direct.renewLease(operation.lease()).thenApply(StoreResponse::number);
        };
    }
}
