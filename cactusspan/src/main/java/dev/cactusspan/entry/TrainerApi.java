package dev.cactusspan.entry;

import dev.cactusspan.config.Configuration;
import dev.cactusspan.config.EnvironmentDocument;
import dev.cactusspan.config.KeyHash;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TrainerId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.link.TaskThread;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.sample.StepLedger;
import dev.cactusspan.sample.StepSpec;
import dev.cactusspan.text.JsonText;
import io.undertow.server.HttpServerExchange;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Handles trainers' requests: steps, deliveries, acknowledgements and new weights. */
final class TrainerApi {
    private static final String JSON = "application/json";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NO_CONTENT = 204;
    private static final long MAX_POLL_WAIT_MS = 30_000;
    private static final long DEFAULT_POLL_WAIT_MS = 10_000;
    private static final long PARTIAL_DELIVERY_MS = 500;
    private static final int MAX_LANES = 64;

    private final RequestAdmission mAdmission;
    private final TaskThread mThread;
    private final StepManager mSteps;
    private final WeightStore mWeights;
    private final ConfigurationFollower mFollower;
    private final LongSupplier mNowMs;

    TrainerApi(
            RequestAdmission admission,
            TaskThread thread,
            StepManager steps,
            WeightStore weights,
            ConfigurationFollower follower,
            LongSupplier nowMs) {
        mAdmission = admission;
        mThread = thread;
        mSteps = steps;
        mWeights = weights;
        mFollower = follower;
        mNowMs = nowMs;
    }

    // Handlers

    void submit(HttpServerExchange exchange) {
        Optional<Call> call = call(exchange);
        if (call.isEmpty()) {
            return;
        }
        mAdmission.readBody(
                exchange,
                call.get().configuration(),
                body ->
                        StepSpec.read(body)
                                .fold(
                                        f -> respondFailure(exchange, f),
                                        s -> submit(call.get(), s)));
    }

    private Void submit(Call call, StepSpec spec) {
        HttpServerExchange exchange = call.exchange();
        mThread.execute(
                () ->
                        mSteps.submit(
                                call.lane(),
                                call.trainer(),
                                call.keyHash(),
                                spec,
                                result ->
                                        runOnIoThread(
                                                exchange,
                                                () -> respondStepStatus(exchange, result))));
        return null;
    }

    private static void respondStepStatus(HttpServerExchange exchange, Result<StepLedger> result) {
        result.fold(
                failure -> respondFailure(exchange, failure),
                ledger -> {
                    HttpResponses.respondJson(
                            exchange,
                            ACCEPTED,
                            new StepStatus(ledger.step(), ledger.total(), ledger.delivery()));
                    return null;
                });
    }

    void deliveries(HttpServerExchange exchange) {
        Optional<Call> call = call(exchange);
        if (call.isEmpty()) {
            return;
        }
        exchange.dispatch();
        long nowMs = mNowMs.getAsLong();
        long waitMs = RequestAdmission.numberParameter(exchange, "wait_ms", DEFAULT_POLL_WAIT_MS);
        long boundMs = Math.max(0, Math.min(MAX_POLL_WAIT_MS, waitMs));
        DeliveryPoll poll =
                new DeliveryPoll(
                        RequestAdmission.numberParameter(exchange, "after", 0),
                        nowMs + Math.min(PARTIAL_DELIVERY_MS, boundMs),
                        nowMs + boundMs,
                        new HttpReply(exchange));
        mThread.execute(() -> mSteps.poll(call.get().lane(), poll));
    }

    void acknowledge(HttpServerExchange exchange) {
        Optional<Call> call = call(exchange);
        if (call.isEmpty()) {
            return;
        }
        mAdmission.readBody(
                exchange,
                call.get().configuration(),
                body ->
                        JsonText.read(body, Acknowledgement.class)
                                .fold(
                                        f -> respondFailure(exchange, f),
                                        a -> acknowledge(call.get(), a.delivery())));
    }

    private Void acknowledge(Call call, long delivery) {
        mThread.execute(
                () -> {
                    Result<StepLedger> result = mSteps.acknowledge(call.lane(), delivery);
                    runOnIoThread(
                            call.exchange(), () -> respondStepStatus(call.exchange(), result));
                });
        return null;
    }

    void publishWeights(HttpServerExchange exchange) {
        Result<Configuration> configuration = mAdmission.configuration();
        String key = RequestAdmission.bearerKey(exchange);
        Result<AccountId> account = configuration.flatMap(c -> c.authenticate(key));
        if (!account.isOk()) {
            mAdmission.respondFailure(exchange, account);
            return;
        }
        ServiceId model = ServiceId.of(RequestAdmission.pathParameter(exchange, "model"));
        boolean isTrainedByAccount =
                configuration.get().document().trainers().stream()
                        .filter(t -> t.model().equals(model))
                        .anyMatch(t -> t.account().equals(account.get()));
        if (!isTrainedByAccount) {
            respondFailure(
                    exchange,
                    Failure.of(ErrorKind.FORBIDDEN, account.get() + " does not train " + model));
            return;
        }
        mAdmission.readBody(
                exchange,
                configuration.get(),
                body ->
                        JsonText.read(body, Weights.class)
                                .fold(
                                        f -> respondFailure(exchange, f),
                                        w -> publish(exchange, model, w)));
    }

    private Void publish(HttpServerExchange exchange, ServiceId model, Weights weights) {
        if (weights.staged() < 0 || weights.active() < 0) {
            return respondFailure(
                    exchange, Failure.of(ErrorKind.BAD_REQUEST, "$: expected versions >= 0"));
        }
        WeightVersion staged = WeightVersion.of(weights.staged());
        WeightVersion active = WeightVersion.of(weights.active());
        FutureResults.deliver(
                mWeights.raise(model, staged, active), mThread, r -> respondPublished(exchange, r));
        return null;
    }

    private void respondPublished(
            HttpServerExchange exchange, Result<KeyValueService.Entry> result) {
        result.fold(
                failure -> {
                    runOnIoThread(exchange, () -> respondFailure(exchange, failure));
                    return null;
                },
                entry -> {
                    mFollower.applyWeights(entry);
                    runOnIoThread(
                            exchange,
                            () -> HttpResponses.respond(exchange, OK, JSON, entry.value()));
                    return null;
                });
    }

    private Optional<Call> call(HttpServerExchange exchange) {
        Result<Configuration> configuration = mAdmission.configuration();
        String key = RequestAdmission.bearerKey(exchange);
        Result<AccountId> account = configuration.flatMap(c -> c.authenticate(key));
        if (!account.isOk()) {
            mAdmission.respondFailure(exchange, account);
            return Optional.empty();
        }
        TrainerId id = TrainerId.of(RequestAdmission.pathParameter(exchange, "trainer"));
        Optional<EnvironmentDocument.Trainer> trainer = configuration.get().document().trainer(id);
        if (trainer.isEmpty() || !trainer.get().account().equals(account.get())) {
            respondFailure(
                    exchange,
                    Failure.of(ErrorKind.FORBIDDEN, account.get() + " may not act for " + id));
            return Optional.empty();
        }
        long number = RequestAdmission.numberParameter(exchange, "lane", 0);
        if (number < 0 || number >= MAX_LANES) {
            String detail = "lane: expected 0 to " + (MAX_LANES - 1);
            respondFailure(exchange, Failure.of(ErrorKind.BAD_REQUEST, detail));
            return Optional.empty();
        }
        Lane lane = new Lane(id, (int) number);
        return Optional.of(
                new Call(exchange, configuration.get(), trainer.get(), lane, KeyHash.ofKey(key)));
    }

    private static Void respondFailure(HttpServerExchange exchange, Failure failure) {
        HttpResponses.respondFailure(exchange, failure);
        return null;
    }

    private static void runOnIoThread(HttpServerExchange exchange, Runnable task) {
        exchange.getIoThread().execute(task);
    }

    private record Call(
            HttpServerExchange exchange,
            Configuration configuration,
            EnvironmentDocument.Trainer trainer,
            Lane lane,
            KeyHash keyHash) {}

    private record StepStatus(long step, int samples, long delivery) {}

    private record StepDone(long delivery, long step, boolean stepComplete) {}

    private record Acknowledgement(long delivery) {}

    private record Weights(long staged, long active) {}

    /** Sends the result of a poll over HTTP. */
    private static final class HttpReply implements DeliveryPoll.Reply {
        private final HttpServerExchange mExchange;

        HttpReply(HttpServerExchange exchange) {
            mExchange = exchange;
        }

        @Override
        public void deliver(byte[] body) {
            runOnIoThread(mExchange, () -> HttpResponses.respond(mExchange, OK, JSON, body));
        }

        @Override
        public void notReady() {
            runOnIoThread(
                    mExchange, () -> HttpResponses.respond(mExchange, NO_CONTENT, "", new byte[0]));
        }

        @Override
        public void complete(long step, long delivery) {
            StepDone done = new StepDone(delivery, step, true);
            runOnIoThread(mExchange, () -> HttpResponses.respondJson(mExchange, OK, done));
        }

        @Override
        public void fail(Failure failure) {
            runOnIoThread(mExchange, () -> respondFailure(mExchange, failure));
        }
    }
}
