package dev.cactusspan.gateway;

import dev.cactusspan.batch.Batch;
import dev.cactusspan.batch.BatchCodec;
import dev.cactusspan.batch.BatchManager;
import dev.cactusspan.batch.KnownOwnership;
import dev.cactusspan.batch.ResultsView;
import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.forward.ClientRequest;
import dev.cactusspan.forward.ClientSink;
import dev.cactusspan.forward.RequestForwarder;
import dev.cactusspan.forward.StreamResumer;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.intake.Body;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import dev.cactusspan.time.WallClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Handles client requests: checks the API key, finds the route, and passes the request to the
 * component that serves it. All methods are called on one thread.
 */
public final class Gateway {

    /** Delay after which a client should retry a refused request, in milliseconds. */
    private static final long RETRY_AFTER_MS = 150;

    /** Maximum number of batches that wait for the store; each holds its items in memory. */
    private static final int MAX_WAITING_BATCHES = 24;

    private final Supplier<Optional<DesiredState>> mDesired;
    private final RequestForwarder mForwarder;
    private final StreamResumer mStreams;
    private final BatchManager mBatches;
    private final BatchReader mReader;
    private final BatchCodec mCodec;
    private final BooleanSupplier mIsStopping;
    private final BooleanSupplier mIsStoreAnswering;
    private final Telemetry mTelemetry;
    private final LongSupplier mNowMs;
    private final WallClock mWallClock;
    private final List<Submission> mSubmissions = new ArrayList<>();

    Gateway(
            Supplier<Optional<DesiredState>> desired,
            RequestForwarder forwarder,
            StreamResumer streams,
            BatchManager batches,
            BatchReader reader,
            BatchCodec codec,
            BooleanSupplier isStopping,
            BooleanSupplier isStoreAnswering,
            Telemetry telemetry,
            LongSupplier nowMs,
            WallClock wallClock) {
        mDesired = desired;
        mForwarder = forwarder;
        mStreams = streams;
        mBatches = batches;
        mReader = reader;
        mCodec = codec;
        mIsStopping = isStopping;
        mIsStoreAnswering = isStoreAnswering;
        mTelemetry = telemetry;
        mNowMs = nowMs;
        mWallClock = wallClock;
    }

    /** A batch submission that waits for its outcome and gets exactly one response. */
    private static final class Submission {
        private final Batch mBatch;
        private final ClientSink mSink;
        private final long mWaitUntilMs;
        private Optional<Failure> mFailure = Optional.empty();
        private long mTriedMs;
        private boolean mIsCompleted;

        Submission(Batch batch, ClientSink sink, long waitUntilMs) {
            mBatch = batch;
            mSink = sink;
            mWaitUntilMs = waitUntilMs;
        }

        /** Tells whether its last try certainly had no effect. */
        boolean isWaiting() {
            return mFailure.isPresent();
        }
    }

    // Requests

    /**
     * Handles a client's request.
     *
     * @param request the request
     * @param sink writes the response
     * @return cancels the request when run; for use when the client has disconnected
     */
    public Runnable handle(ClientRequest request, ClientSink sink) {
        Result<FleetRoute> route = route(request);
        if (!route.isOk()) {
            return refuse(request, sink, route);
        }
        Result<Optional<AccountId>> account = account(request.key(), route.get().isOpen());
        if (!account.isOk()) {
            return refuse(request, sink, account);
        }
        if (mIsStopping.getAsBoolean()) {
            return refuse(
                    request, sink, Result.fail(ErrorKind.SHUTTING_DOWN, "the process is stopping"));
        }
        if (route.get().kind() == RouteKind.BATCH) {
            return submit(request, route.get(), account.get(), sink);
        }
        return mStreams.submit(request, route.get(), account.get(), sink);
    }

    private Result<FleetRoute> route(ClientRequest request) {
        Optional<DesiredState> desired = mDesired.get();
        if (desired.isEmpty()) {
            return Result.fail(ErrorKind.CONFIGURATION_STALE, "no desired state is known yet");
        }
        return desired.get()
                .route(request.hostOnly(), request.pathOnly())
                .map(Result::of)
                .orElse(Result.fail(ErrorKind.NOT_FOUND, "no route"));
    }

    private Result<Optional<AccountId>> account(Optional<String> key, boolean isOpen) {
        Optional<DesiredState> desired = mDesired.get();
        if (desired.isEmpty()) {
            return Result.fail(ErrorKind.CONFIGURATION_STALE, "no desired state is known yet");
        }
        Optional<AccountId> account = key.flatMap(desired.get()::account);
        if (account.isEmpty() && !isOpen && desired.get().hasAccounts()) {
            return Result.fail(ErrorKind.UNAUTHENTICATED, "the key is not valid");
        }
        return Result.of(isOpen ? Optional.empty() : account);
    }

    private Runnable refuse(ClientRequest request, ClientSink sink, Result<?> result) {
        Failure failure = result.fold(f -> f, v -> Failure.of(ErrorKind.INTERNAL, "no failure"));
        refuse("request_refused", request.id().value(), sink, failure, RETRY_AFTER_MS);
        return () -> {};
    }

    private void refuse(
            String event, String id, ClientSink sink, Failure failure, long retryAfterMs) {
        mTelemetry.count("refusals_total", "kind", failure.kind().wireName());
        Decision.of(event)
                .with("request", id)
                .with("revision", mDesired.get().map(d -> d.revision().number()).orElse(0L))
                .with("failure", failure.toString())
                .info();
        sink.fail(failure, failure.isNotRun() ? retryAfterMs : 0);
    }

    // Batches

    private Runnable submit(
            ClientRequest request, FleetRoute route, Optional<AccountId> account, ClientSink sink) {
        Result<Batch> batch =
                mCodec.read(request, route, account.orElse(AccountId.of("")), mWallClock.wallMs());
        if (!batch.isOk()) {
            return refuse(request, sink, batch);
        }
        long waitUntilMs =
                SubmissionRule.waitUntilMs(
                        mNowMs.getAsLong() - request.waitedMs(),
                        request.clientTimeoutMs().orElse(0));
        Submission submission = new Submission(batch.get(), sink, waitUntilMs);
        mSubmissions.add(submission);
        create(submission);
        return () -> withdraw(submission);
    }

    private void create(Submission submission) {
        submission.mFailure = Optional.empty();
        mBatches.submit(submission.mBatch, result -> onCreated(submission, result));
    }

    /** Has a batch wait whose write certainly had no effect, because the store is away. */
    private void onCreated(Submission submission, Result<Boolean> result) {
        Optional<Failure> failure = result.fold(Optional::of, ok -> Optional.empty());
        long nowMs = mNowMs.getAsLong();
        boolean isAway = failure.map(f -> f.kind() == ErrorKind.PLATFORM_UNAVAILABLE).orElse(false);
        boolean mayWait =
                nowMs < submission.mWaitUntilMs && mSubmissions.size() <= MAX_WAITING_BATCHES;
        if (!isAway || !mayWait || submission.mIsCompleted) {
            completeSubmission(submission, result);
            return;
        }
        submission.mFailure = failure;
        submission.mTriedMs = nowMs;
    }

    /** Forgets a batch that is not being written, as its client has gone. */
    private void withdraw(Submission submission) {
        if (submission.isWaiting()) {
            mSubmissions.remove(submission);
            submission.mIsCompleted = true;
        }
    }

    private void completeSubmission(Submission submission, Result<Boolean> result) {
        mSubmissions.remove(submission);
        if (submission.mIsCompleted) {
            return;
        }
        submission.mIsCompleted = true;
        result.fold(
                f -> {
                    long retryAfterMs =
                            submission.isWaiting() ? SubmissionRule.retryAfterMs() : RETRY_AFTER_MS;
                    String id = submission.mBatch.id().value();
                    refuse("batch_refused", id, submission.mSink, f, retryAfterMs);
                    return null;
                },
                ok -> {
                    submission.mSink.respond(202, Map.of(), Body.empty());
                    return null;
                });
    }

    /**
     * Reads results of a batch.
     *
     * @param id the batch
     * @param key the API key of the request
     * @param after position of the first result to return
     * @param waitMs how long to wait for a result
     * @param consumer receives the results
     */
    public void readResults(
            BatchId id,
            Optional<String> key,
            int after,
            long waitMs,
            Consumer<Result<ResultsView>> consumer) {
        long sinceMs = mNowMs.getAsLong();
        Consumer<Result<ResultsView>> logged =
                result -> {
                    logRead(id, after, sinceMs, result);
                    consumer.accept(result);
                };
        withBatch(id, key, logged, known -> mReader.readResults(known, after, waitMs, logged));
    }

    private void logRead(BatchId id, int after, long sinceMs, Result<ResultsView> result) {
        Decision.of("results_read")
                .with("batch", id.value())
                .with("after", after)
                .with("results", result.fold(f -> 0, view -> view.results().size()))
                .with("failure", result.fold(Failure::toString, view -> ""))
                .with("took_ms", mNowMs.getAsLong() - sinceMs)
                .info();
    }

    /**
     * Reads the body of an item that has no result yet.
     *
     * @param id the batch
     * @param key the API key of the request
     * @param item the item
     * @param consumer receives the body
     */
    public void readItem(
            BatchId id, Optional<String> key, ItemId item, Consumer<Result<byte[]>> consumer) {
        withBatch(id, key, consumer, known -> mReader.readItem(known, item, consumer));
    }

    /**
     * Ends a batch.
     *
     * @param id the batch
     * @param key the API key of the request
     * @param consumer receives the outcome
     */
    public void endBatch(BatchId id, Optional<String> key, Consumer<Result<Boolean>> consumer) {
        withBatch(id, key, consumer, known -> mBatches.end(id, consumer));
    }

    /** Finds a batch of the key's client account, or reports why there is none. */
    private <T> void withBatch(
            BatchId id,
            Optional<String> key,
            Consumer<Result<T>> consumer,
            Consumer<KnownOwnership> action) {
        account(key, false)
                .fold(
                        f -> {
                            consumer.accept(Result.fail(f));
                            return null;
                        },
                        account -> {
                            AccountId accountId = account.orElse(AccountId.of(""));
                            mReader.locate(
                                    id, accountId, result -> passResult(result, consumer, action));
                            return null;
                        });
    }

    private static <T> void passResult(
            Result<KnownOwnership> result,
            Consumer<Result<T>> consumer,
            Consumer<KnownOwnership> action) {
        result.fold(
                f -> {
                    consumer.accept(Result.fail(f));
                    return null;
                },
                known -> {
                    action.accept(known);
                    return null;
                });
    }

    // Time

    /** Returns whether no request and no submission is in progress. */
    boolean isIdle() {
        return mSubmissions.isEmpty() && mForwarder.size() == 0;
    }

    /** Runs periodic work, and handles the submissions that wait for the store. */
    void tick() {
        mForwarder.tick();
        if (!mSubmissions.isEmpty()) {
            List.copyOf(mSubmissions).forEach(this::tick);
        }
    }

    private void tick(Submission submission) {
        long nowMs = mNowMs.getAsLong();
        if (nowMs >= submission.mWaitUntilMs) {
            Failure open = Failure.of(ErrorKind.DEADLINE_EXCEEDED, "the store does not answer");
            completeSubmission(submission, Result.fail(submission.mFailure.orElse(open)));
        } else if (submission.isWaiting()
                && SubmissionRule.isTryDue(
                        submission.mTriedMs, mIsStoreAnswering.getAsBoolean(), nowMs)) {
            create(submission);
        }
    }
}
