package dev.cactusspan.gateway;

import dev.cactusspan.batch.Batch;
import dev.cactusspan.batch.BatchCodec;
import dev.cactusspan.batch.BatchDesk;
import dev.cactusspan.batch.KnownOwnership;
import dev.cactusspan.batch.ResultsView;
import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.forward.ClientRequest;
import dev.cactusspan.forward.ClientSink;
import dev.cactusspan.forward.RequestForwarder;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * What clients may ask: checks the key, finds the route, and hands over to the desk that serves it.
 * All calls come on one thread.
 */
public final class Gateway {

    /** When a refused trainer should come back, in milliseconds. */
    private static final long COME_BACK_MS = 150;

    /** An accepted batch is answered within this time, or its outcome is left open. */
    private static final long SUBMIT_MS = 2_500;

    private final Supplier<Optional<DesiredState>> mDesired;
    private final RequestForwarder mForward;
    private final BatchDesk mBatches;
    private final BatchReader mReader;
    private final BatchCodec mCodec;
    private final BooleanSupplier mIsStopping;
    private final Telemetry mTelemetry;
    private final LongSupplier mNowMs;
    private final LongSupplier mWallMs;
    private final List<Submission> mSubmissions = new ArrayList<>();

    Gateway(
            Supplier<Optional<DesiredState>> desired,
            RequestForwarder forward,
            BatchDesk batches,
            BatchReader reader,
            BatchCodec codec,
            BooleanSupplier isStopping,
            Telemetry telemetry,
            LongSupplier nowMs,
            LongSupplier wallMs) {
        mDesired = desired;
        mForward = forward;
        mBatches = batches;
        mReader = reader;
        mCodec = codec;
        mIsStopping = isStopping;
        mTelemetry = telemetry;
        mNowMs = nowMs;
        mWallMs = wallMs;
    }

    /** A submission that waits for its outcome; it is answered once. */
    private static final class Submission {
        private final BatchId mId;
        private final ClientSink mSink;
        private final long mUntilMs;
        private boolean mIsAnswered;

        Submission(BatchId id, ClientSink sink, long untilMs) {
            mId = id;
            mSink = sink;
            mUntilMs = untilMs;
        }
    }

    // Requests

    /**
     * Takes a client's request.
     *
     * @param request the request
     * @param sink writes its answer
     * @return gives the request up when run, as its client has gone
     */
    public Runnable request(ClientRequest request, ClientSink sink) {
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
            submit(request, route.get(), account.get(), sink);
            return () -> {};
        }
        return mForward.submit(request, route.get(), account.get(), sink);
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
        refuse("request_refused", request.id().value(), sink, failure);
        return () -> {};
    }

    private void refuse(String event, String id, ClientSink sink, Failure failure) {
        mTelemetry.count("refusals_total", "kind", failure.kind().wireName());
        Decision.of(event)
                .with("request", id)
                .with("revision", mDesired.get().map(d -> d.revision().number()).orElse(0L))
                .with("failure", failure.toString())
                .info();
        sink.fail(failure, failure.isNotRun() ? COME_BACK_MS : 0);
    }

    // Batches

    private void submit(
            ClientRequest request, FleetRoute route, Optional<AccountId> account, ClientSink sink) {
        Result<Batch> batch =
                mCodec.read(request, route, account.orElse(AccountId.of("")), mWallMs.getAsLong());
        if (!batch.isOk()) {
            refuse(request, sink, batch);
            return;
        }
        Submission submission =
                new Submission(batch.get().id(), sink, mNowMs.getAsLong() + SUBMIT_MS);
        mSubmissions.add(submission);
        mBatches.submit(batch.get(), result -> submitted(submission, result));
    }

    private void submitted(Submission submission, Result<Boolean> result) {
        mSubmissions.remove(submission);
        if (submission.mIsAnswered) {
            return;
        }
        submission.mIsAnswered = true;
        result.fold(
                f -> {
                    refuse("batch_refused", submission.mId.value(), submission.mSink, f);
                    return null;
                },
                ok -> {
                    submission.mSink.respond(202, Map.of(), new byte[0]);
                    return null;
                });
    }

    /**
     * Reads results of a batch.
     *
     * @param id the batch
     * @param key the key that came with the request
     * @param after first position
     * @param waitMs how long to wait for a result
     * @param taker takes the results
     */
    public void results(
            BatchId id,
            Optional<String> key,
            int after,
            long waitMs,
            Consumer<Result<ResultsView>> taker) {
        located(id, key, taker, known -> mReader.results(known, after, waitMs, taker));
    }

    /**
     * Reads the body of an item that is not listed.
     *
     * @param id the batch
     * @param key the key that came with the request
     * @param item the item
     * @param taker takes the body
     */
    public void item(
            BatchId id, Optional<String> key, ItemId item, Consumer<Result<byte[]>> taker) {
        located(id, key, taker, known -> mReader.item(known, item, taker));
    }

    /**
     * Ends a batch.
     *
     * @param id the batch
     * @param key the key that came with the request
     * @param taker takes the outcome
     */
    public void end(BatchId id, Optional<String> key, Consumer<Result<Boolean>> taker) {
        located(id, key, taker, known -> mBatches.end(id, taker));
    }

    /** Finds a batch of the key's client account, or hands on why there is none. */
    private <T> void located(
            BatchId id,
            Optional<String> key,
            Consumer<Result<T>> taker,
            Consumer<KnownOwnership> found) {
        account(key, false)
                .fold(
                        f -> {
                            taker.accept(Result.fail(f));
                            return null;
                        },
                        account -> {
                            AccountId holder = account.orElse(AccountId.of(""));
                            mReader.locate(id, holder, result -> handOn(result, taker, found));
                            return null;
                        });
    }

    private static <T> void handOn(
            Result<KnownOwnership> result,
            Consumer<Result<T>> taker,
            Consumer<KnownOwnership> found) {
        result.fold(
                f -> {
                    taker.accept(Result.fail(f));
                    return null;
                },
                known -> {
                    found.accept(known);
                    return null;
                });
    }

    // Time

    /** Leaves the outcome open of submissions that cannot be answered in time. */
    void tick() {
        long nowMs = mNowMs.getAsLong();
        mForward.tick();
        for (Submission submission : List.copyOf(mSubmissions)) {
            if (nowMs >= submission.mUntilMs) {
                submitted(
                        submission,
                        Result.fail(ErrorKind.DEADLINE_EXCEEDED, "the store does not answer"));
            }
        }
    }
}
