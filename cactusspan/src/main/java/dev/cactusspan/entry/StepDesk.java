package dev.cactusspan.entry;

import com.google.common.flogger.FluentLogger;
import com.google.common.hash.Hashing;
import dev.cactusspan.config.Configuration;
import dev.cactusspan.config.EnvironmentDocument;
import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.config.KeyHash;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.sample.DeliveryPlan;
import dev.cactusspan.sample.Sample;
import dev.cactusspan.sample.StepBook;
import dev.cactusspan.sample.StepLedger;
import dev.cactusspan.sample.StepSpec;
import dev.cactusspan.text.JsonText;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Runs the steps of trainers and delivers their samples exactly once. */
final class StepDesk {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final long RETRY_MS = 200;
    private static final double QUEUE_FACTOR = 1.5;

    private final EnvironmentId mEnvironment;
    private final String mOwner;
    private final KeyValueService mKeyValues;
    private final StepOpener mOpener;
    private final Executor mThread;
    private final RequestDesk mRequests;
    private final TargetDirectory mTargets;
    private final Supplier<Configuration> mConfiguration;
    private final Follower mFollower;
    private final Telemetry mTelemetry;
    private final LongSupplier mNowMs;
    private final Map<Lane, ActiveStep> mSteps = new HashMap<>();
    private long mRequestNumber;

    StepDesk(
            EnvironmentId environment,
            String owner,
            KeyValueService keyValues,
            Executor thread,
            RequestDesk requests,
            TargetDirectory targets,
            Supplier<Configuration> configuration,
            Follower follower,
            Telemetry telemetry,
            LongSupplier nowMs) {
        mEnvironment = environment;
        mOwner = owner;
        mKeyValues = keyValues;
        mOpener = new StepOpener(environment, owner, keyValues, thread);
        mThread = thread;
        mRequests = requests;
        mTargets = targets;
        mConfiguration = configuration;
        mFollower = follower;
        mTelemetry = telemetry;
        mNowMs = nowMs;
    }

    // Submitting

    /** Takes a step, or takes over one that another entry held. */
    void submit(
            Lane lane,
            EnvironmentDocument.Trainer trainer,
            KeyHash keyHash,
            StepSpec spec,
            Consumer<Result<StepLedger>> reply) {
        ActiveStep held = mSteps.get(lane);
        if (held != null && held.book().spec().equals(spec)) {
            held.keyHash(keyHash);
            reply.accept(Result.of(held.book().ledger()));
            return;
        }
        mOpener.open(
                lane,
                spec,
                result ->
                        reply.accept(
                                result.map(
                                        opening -> {
                                            hold(lane, trainer, keyHash, spec, opening);
                                            return opening.ledger();
                                        })));
    }

    private void hold(
            Lane lane,
            EnvironmentDocument.Trainer trainer,
            KeyHash keyHash,
            StepSpec spec,
            StepOpener.Opening opening) {
        long bound =
                mConfiguration
                        .get()
                        .document()
                        .model(trainer.model())
                        .map(m -> m.stalenessBoundVersions())
                        .orElse(0L);
        StepBook book = new StepBook(spec, opening.ledger(), bound, trainer.deliverySamples());
        ActiveStep step = new ActiveStep(book, trainer, keyHash, opening.version());
        Optional.ofNullable(mSteps.put(lane, step))
                .flatMap(ActiveStep::takePoll)
                .ifPresent(p -> p.reply().fail(Failure.of(ErrorKind.CONFLICT, "a newer step")));
        sLog.atInfo().log(
                "step %d of trainer %s lane %d: %d of %d samples to deliver",
                spec.step(),
                lane.trainer(),
                lane.number(),
                opening.ledger().total() - opening.ledger().bits().cardinality(),
                opening.ledger().total());
        run(step);
    }

    // Running

    private void run(ActiveStep step) {
        if (mNowMs.getAsLong() < step.nextRunMs()) {
            return;
        }
        ServiceId model = step.trainer().model();
        int slots = mTargets.usable(model).stream().mapToInt(t -> t.load().slots()).sum();
        int capacity = (int) Math.ceil(slots * QUEUE_FACTOR);
        while (step.book().running() < capacity && !step.book().isAllTaken()) {
            int slot = step.book().takeOpen().orElseThrow();
            if (!start(step, slot)) {
                return;
            }
        }
        if (step.book().isAllTaken()) {
            hedge(step);
        }
    }

    /** Runs a slot; tells whether the request was admitted. */
    private boolean start(ActiveStep step, int slot) {
        step.started(slot, mNowMs.getAsLong());
        if (mRequests.admit(spec(step, slot), sink(step, slot)).isEmpty()) {
            step.nextRunAt(mNowMs.getAsLong() + RETRY_MS);
            return false;
        }
        return true;
    }

    /** Runs late samples of the step's tail a second time; the first one that ends counts. */
    private void hedge(ActiveStep step) {
        for (int slot : step.late(mNowMs.getAsLong())) {
            mTelemetry.count("hedges_total");
            if (!start(step, slot)) {
                return;
            }
        }
    }

    private RequestSpec spec(ActiveStep step, int slot) {
        EnvironmentDocument.Trainer trainer = step.trainer();
        EnvironmentDocument.Bounds bounds = mConfiguration.get().document().bounds();
        StepSpec.Group group = step.book().spec().groups().get(step.book().slot(slot).group());
        byte[] body =
                JsonText.write(
                        new Completion(trainer.model(), group.prompt(), group.maxTokens(), true));
        return new RequestSpec(
                RequestId.of(mOwner + "-s" + mRequestNumber++),
                trainer.account(),
                Optional.of(step.keyHash()),
                rolloutRoute(trainer),
                RequestClass.ROLLOUT,
                "POST",
                "/v1/completions",
                Map.of("content-type", "application/json"),
                body,
                Hashing.murmur3_128().hashString(group.prompt(), StandardCharsets.UTF_8).asLong(),
                bounds.requestDeadlineMs(),
                true,
                oldestUseful(trainer.model()),
                "");
    }

    private static EnvironmentDocument.Route rolloutRoute(EnvironmentDocument.Trainer trainer) {
        return new EnvironmentDocument.Route(
                RouteId.of("rollout-" + trainer.name()),
                EnvironmentDocument.RouteKind.COMPLETIONS,
                trainer.model(),
                List.of(),
                "/",
                RequestClass.ROLLOUT,
                List.of(trainer.account()),
                false,
                0,
                "");
    }

    /** Work on an older version would be over the staleness bound when it is delivered. */
    private WeightVersion oldestUseful(ServiceId model) {
        long bound =
                mConfiguration
                        .get()
                        .document()
                        .model(model)
                        .map(m -> m.stalenessBoundVersions())
                        .orElse(0L);
        long active = mFollower.book().desired(model).active().number();
        return WeightVersion.of(Math.max(1, active - bound));
    }

    private SampleSink sink(ActiveStep step, int slot) {
        return new SampleSink(
                step.book().spec().step(),
                step.book().slot(slot),
                sample -> finished(step, slot, sample),
                reason -> failed(step, slot));
    }

    private void finished(ActiveStep step, int slot, Sample sample) {
        step.finished(slot, mNowMs.getAsLong());
        step.ended(slot);
        boolean isKept = step.book().finished(slot, sample, active(step));
        mTelemetry.count("samples_total", "outcome", isKept ? "kept" : "dropped");
    }

    private void failed(ActiveStep step, int slot) {
        if (!step.ended(slot)) {
            step.book().failed(slot);
        }
        mTelemetry.count("samples_total", "outcome", "failed");
    }

    private WeightVersion active(ActiveStep step) {
        return mFollower.book().desired(step.trainer().model()).active();
    }

    // Delivering

    /** Takes a trainer's poll. */
    void poll(Lane lane, DeliveryPoll poll) {
        ActiveStep step = mSteps.get(lane);
        if (step == null) {
            poll.reply()
                    .fail(
                            Failure.of(
                                    ErrorKind.NOT_FOUND,
                                    "no step is held here; submit the step again"));
            return;
        }
        step.poll(poll)
                .ifPresent(
                        p -> p.reply().fail(Failure.of(ErrorKind.CONFLICT, "a newer poll came")));
        serve(lane, step);
    }

    /** Checks a trainer's acknowledgement; the trainer's next poll says the same. */
    Result<StepLedger> acknowledge(Lane lane, long delivery) {
        ActiveStep step = mSteps.get(lane);
        if (step == null) {
            return Result.fail(ErrorKind.NOT_FOUND, "no step is held here; submit the step again");
        }
        StepLedger ledger = step.book().ledger();
        if (delivery != ledger.delivery() && delivery != ledger.held()) {
            return Result.fail(
                    ErrorKind.CONFLICT,
                    "expected delivery " + ledger.delivery() + ", found " + delivery);
        }
        return Result.of(ledger);
    }

    private void serve(Lane lane, ActiveStep step) {
        long nowMs = mNowMs.getAsLong();
        if (step.isWriting(nowMs)) {
            return;
        }
        if (step.proposed().isPresent()) {
            write(lane, step, step.proposed().get());
            return;
        }
        if (step.waitingPoll().isEmpty()) {
            return;
        }
        DeliveryPoll poll = step.waitingPoll().get();
        DeliveryPlan plan =
                nowMs >= poll.partialMs()
                        ? step.book().planPartial(poll.after(), active(step))
                        : step.book().plan(poll.after(), active(step));
        carryOut(lane, step, poll, plan);
    }

    private void carryOut(Lane lane, ActiveStep step, DeliveryPoll poll, DeliveryPlan plan) {
        if (plan instanceof DeliveryPlan.Write write) {
            step.propose(write);
            write(lane, step, write);
        } else if (plan instanceof DeliveryPlan.Repeat) {
            repeat(lane, step, poll);
        } else if (plan instanceof DeliveryPlan.Complete) {
            step.takePoll();
            poll.reply().complete(step.book().spec().step(), step.book().ledger().delivery());
        } else if (plan instanceof DeliveryPlan.Mismatch mismatch) {
            step.takePoll();
            poll.reply().fail(Failure.of(ErrorKind.CONFLICT, mismatch.detail()));
        } else if (mNowMs.getAsLong() >= poll.untilMs()) {
            step.takePoll();
            poll.reply().none();
        }
    }

    /** Repeats the last delivery, after a look whether this entry still holds the step. */
    private void repeat(Lane lane, ActiveStep step, DeliveryPoll poll) {
        step.writing(true, 0);
        FutureResults.deliver(
                mKeyValues.get(key(lane)), mThread, r -> verified(lane, step, poll, r));
    }

    private void verified(
            Lane lane,
            ActiveStep step,
            DeliveryPoll poll,
            Result<Optional<KeyValueService.Entry>> result) {
        step.writing(false, 0);
        if (!result.isOk()) {
            step.writing(false, mNowMs.getAsLong() + RETRY_MS);
            return;
        }
        long version = result.get().map(KeyValueService.Entry::version).orElse(0L);
        if (version != step.version()) {
            lose(lane, step);
            return;
        }
        DeliveryPlan plan = step.book().plan(poll.after(), active(step));
        boolean isSamePoll = step.waitingPoll().equals(Optional.of(poll));
        if (isSamePoll && plan instanceof DeliveryPlan.Repeat repeat) {
            step.takePoll();
            mTelemetry.count("deliveries_total", "outcome", "repeated");
            poll.reply().deliver(repeat.body());
        }
    }

    private void write(Lane lane, ActiveStep step, DeliveryPlan.Write plan) {
        step.writing(true, 0);
        mTelemetry.count("ledger_writes_total");
        FutureResults.deliver(
                mKeyValues.compareAndSwap(key(lane), step.version(), JsonText.write(plan.ledger())),
                mThread,
                r -> written(lane, step, plan, r));
    }

    private void written(Lane lane, ActiveStep step, DeliveryPlan.Write plan, Result<Long> result) {
        if (!result.isOk()) {
            lookUp(lane, step, plan);
            return;
        }
        step.writing(false, 0);
        confirmed(lane, step, result.get());
    }

    /** The write failed or its reply was lost: only the stored ledger tells which. */
    private void lookUp(Lane lane, ActiveStep step, DeliveryPlan.Write plan) {
        FutureResults.deliver(
                mKeyValues.get(key(lane)), mThread, r -> lookedUp(lane, step, plan, r));
    }

    private void lookedUp(
            Lane lane,
            ActiveStep step,
            DeliveryPlan.Write plan,
            Result<Optional<KeyValueService.Entry>> result) {
        step.writing(false, mNowMs.getAsLong() + RETRY_MS);
        if (!result.isOk() || result.get().isEmpty()) {
            return;
        }
        KeyValueService.Entry entry = result.get().get();
        if (entry.version() == step.version()) {
            return;
        }
        boolean isOurs = Arrays.equals(entry.value(), JsonText.write(plan.ledger()));
        if (isOurs && entry.version() == step.version() + 1) {
            step.writing(false, 0);
            confirmed(lane, step, entry.version());
            return;
        }
        lose(lane, step);
    }

    private void confirmed(Lane lane, ActiveStep step, long version) {
        Optional<byte[]> body = step.written(version);
        if (body.isEmpty()) {
            mTelemetry.count("deliveries_total", "outcome", "voided");
            run(step);
            serve(lane, step);
            return;
        }
        mTelemetry.count("deliveries_total", "outcome", "made");
        if (!step.book().isLastFresh(active(step))) {
            // New weights came while the ledger was written: the poll is planned anew.
            serve(lane, step);
            return;
        }
        // A poll that came meanwhile may ask after another number: it is planned anew.
        step.waitingPoll()
                .filter(p -> p.after() == step.book().ledger().held())
                .ifPresent(
                        p -> {
                            step.takePoll();
                            p.reply().deliver(body.get());
                        });
    }

    /** Another entry has taken the step over. */
    private void lose(Lane lane, ActiveStep step) {
        mSteps.remove(lane, step);
        sLog.atInfo().log("step of trainer %s was taken over", lane.trainer());
        step.takePoll()
                .ifPresent(
                        p ->
                                p.reply()
                                        .fail(
                                                Failure.of(
                                                        ErrorKind.NOT_FOUND,
                                                        "the step moved; submit it again")));
    }

    void tick() {
        for (Map.Entry<Lane, ActiveStep> entry : new ArrayList<>(mSteps.entrySet())) {
            run(entry.getValue());
            serve(entry.getKey(), entry.getValue());
        }
    }

    private String key(Lane lane) {
        return StepOpener.key(mEnvironment, lane);
    }

    private record Completion(ServiceId model, String prompt, int maxTokens, boolean stream) {}
}
