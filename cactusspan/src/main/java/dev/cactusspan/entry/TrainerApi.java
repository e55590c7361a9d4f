package dev.cactusspan.entry;

import dev.cactusspan.config.Configuration;
import dev.cactusspan.config.EnvironmentDocument;
import dev.cactusspan.config.KeyHash;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TrainerId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.link.DutyThread;
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

/** Handles requests of trainers: steps, deliveries, acknowledgements and new weights. */
final class TrainerApi {
    private static final String JSON = "application/json";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NO_CONTENT = 204;
    private static final long MAX_WAIT_MS = 30_000;
    private static final long DEFAULT_WAIT_MS = 10_000;
    private static final long PARTIAL_MS = 500;
    private static final int MAX_LANES = 64;

    private final Gate mGate;
    private final DutyThread mThread;
    private final StepDesk mSteps;
    private final WeightStore mWeights;
    private final Follower mFollower;
    private final LongSupplier mNowMs;

    TrainerApi(
            Gate gate,
            DutyThread thread,
            StepDesk steps,
            WeightStore weights,
            Follower follower,
            LongSupplier nowMs) {
        mGate = gate;
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
        mGate.receive(
                exchange,
                call.get().configuration(),
                body ->
                        StepSpec.read(body)
                                .fold(f -> answer(exchange, f), s -> submit(call.get(), s)));
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
                                result -> onIoThread(exchange, () -> submitted(exchange, result))));
        return null;
    }

    private static void submitted(HttpServerExchange exchange, Result<StepLedger> result) {
        result.fold(
                failure -> answer(exchange, failure),
                ledger -> {
                    HttpAnswers.json(
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
        long waitMs = Gate.number(exchange, "wait_ms", DEFAULT_WAIT_MS);
        long boundMs = Math.max(0, Math.min(MAX_WAIT_MS, waitMs));
        DeliveryPoll poll =
                new DeliveryPoll(
                        Gate.number(exchange, "after", 0),
                        nowMs + Math.min(PARTIAL_MS, boundMs),
                        nowMs + boundMs,
                        new HttpReply(exchange));
        mThread.execute(() -> mSteps.poll(call.get().lane(), poll));
    }

    void acknowledge(HttpServerExchange exchange) {
        Optional<Call> call = call(exchange);
        if (call.isEmpty()) {
            return;
        }
        mGate.receive(
                exchange,
                call.get().configuration(),
                body ->
                        JsonText.read(body, Acknowledgement.class)
                                .fold(
                                        f -> answer(exchange, f),
                                        a -> acknowledge(call.get(), a.delivery())));
    }

    private Void acknowledge(Call call, long delivery) {
        mThread.execute(
                () -> {
                    Result<StepLedger> result = mSteps.acknowledge(call.lane(), delivery);
                    onIoThread(call.exchange(), () -> submitted(call.exchange(), result));
                });
        return null;
    }

    void publishWeights(HttpServerExchange exchange) {
        Result<Configuration> configuration = mGate.configuration();
        String key = Gate.key(exchange);
        Result<AccountId> account = configuration.flatMap(c -> c.authenticate(key));
        if (!account.isOk()) {
            mGate.refuse(exchange, account);
            return;
        }
        ServiceId model = ServiceId.of(Gate.parameter(exchange, "model"));
        boolean isTrainers =
                configuration.get().document().trainers().stream()
                        .filter(t -> t.model().equals(model))
                        .anyMatch(t -> t.account().equals(account.get()));
        if (!isTrainers) {
            answer(
                    exchange,
                    Failure.of(ErrorKind.FORBIDDEN, account.get() + " does not train " + model));
            return;
        }
        mGate.receive(
                exchange,
                configuration.get(),
                body ->
                        JsonText.read(body, Weights.class)
                                .fold(f -> answer(exchange, f), w -> publish(exchange, model, w)));
    }

    private Void publish(HttpServerExchange exchange, ServiceId model, Weights weights) {
        if (weights.staged() < 0 || weights.active() < 0) {
            return answer(exchange, Failure.of(ErrorKind.BAD_REQUEST, "$: expected versions >= 0"));
        }
        WeightVersion staged = WeightVersion.of(weights.staged());
        WeightVersion active = WeightVersion.of(weights.active());
        FutureResults.deliver(
                mWeights.raise(model, staged, active), mThread, r -> published(exchange, r));
        return null;
    }

    private void published(HttpServerExchange exchange, Result<KeyValueService.Entry> result) {
        result.fold(
                failure -> {
                    onIoThread(exchange, () -> answer(exchange, failure));
                    return null;
                },
                entry -> {
                    mFollower.took(entry);
                    onIoThread(
                            exchange, () -> HttpAnswers.whole(exchange, OK, JSON, entry.value()));
                    return null;
                });
    }

    private Optional<Call> call(HttpServerExchange exchange) {
        Result<Configuration> configuration = mGate.configuration();
        String key = Gate.key(exchange);
        Result<AccountId> account = configuration.flatMap(c -> c.authenticate(key));
        if (!account.isOk()) {
            mGate.refuse(exchange, account);
            return Optional.empty();
        }
        TrainerId id = TrainerId.of(Gate.parameter(exchange, "trainer"));
        Optional<EnvironmentDocument.Trainer> trainer = configuration.get().document().trainer(id);
        if (trainer.isEmpty() || !trainer.get().account().equals(account.get())) {
            answer(
                    exchange,
                    Failure.of(ErrorKind.FORBIDDEN, account.get() + " may not act for " + id));
            return Optional.empty();
        }
        long number = Gate.number(exchange, "lane", 0);
        if (number < 0 || number >= MAX_LANES) {
            String detail = "lane: expected 0 to " + (MAX_LANES - 1);
            answer(exchange, Failure.of(ErrorKind.BAD_REQUEST, detail));
            return Optional.empty();
        }
        Lane lane = new Lane(id, (int) number);
        return Optional.of(
                new Call(exchange, configuration.get(), trainer.get(), lane, KeyHash.ofKey(key)));
    }

    private static Void answer(HttpServerExchange exchange, Failure failure) {
        HttpAnswers.failure(exchange, failure);
        return null;
    }

    private static void onIoThread(HttpServerExchange exchange, Runnable task) {
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

    /** Answers a poll over HTTP. */
    private static final class HttpReply implements DeliveryPoll.Reply {
        private final HttpServerExchange mExchange;

        HttpReply(HttpServerExchange exchange) {
            mExchange = exchange;
        }

        @Override
        public void deliver(byte[] body) {
            onIoThread(mExchange, () -> HttpAnswers.whole(mExchange, OK, JSON, body));
        }

        @Override
        public void none() {
            onIoThread(mExchange, () -> HttpAnswers.whole(mExchange, NO_CONTENT, "", new byte[0]));
        }

        @Override
        public void complete(long step, long delivery) {
            StepDone done = new StepDone(delivery, step, true);
            onIoThread(mExchange, () -> HttpAnswers.json(mExchange, OK, done));
        }

        @Override
        public void fail(Failure failure) {
            onIoThread(mExchange, () -> answer(mExchange, failure));
        }
    }
}
