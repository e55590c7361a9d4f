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
import dev.cactusspan.sample.StepLedger;
import dev.cactusspan.sample.StepScheduler;
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
final class StepManager {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final long RETRY_MS = 200;
    private static final double QUEUE_FACTOR = 1.5;

    private final EnvironmentId mEnvironment;
    private final String mOwner;
    private final KeyValueService mKeyValues;
    private final StepOpener mOpener;
    private final Executor mThread;
    private final RequestDispatcher mRequests;
    private final TargetDirectory mTargets;
    private final Supplier<Configuration> mConfiguration;
    private final ConfigurationFollower mFollower;
    private final Telemetry mTelemetry;
    private final LongSupplier mNowMs;
    private final Map<Lane, ActiveStep> mSteps = new HashMap<>();
    private long mRequestNumber;

    StepManager(
            EnvironmentId environment,
            String owner,
            KeyValueService keyValues,
            Executor thread,
            RequestDispatcher requests,
            TargetDirectory targets,
            Supplier<Configuration> configuration,
            ConfigurationFollower follower,
            Telemetry telemetry,
            LongSupplier nowMs) {
        mEnvironment = environment;
        mOwner = owner;
        mKeyValues = keyValues;
        mOpener = new StepOpener(environment, owner, keyValues, thread, this::holdStep);
        mThread = thread;
        mRequests = requests;
        mTargets = targets;
        mConfiguration = configuration;
        mFollower = follower;
        mTelemetry = telemetry;
        mNowMs = nowMs;
    }

    // Submission

    /** Accepts a new step, or takes over one that another entry owned. */
    void submit(
            Lane lane,
            EnvironmentDocument.Trainer trainer,
            KeyHash keyHash,
            StepSpec spec,
            Consumer<Result<StepLedger>> reply) {
        ActiveStep held = mSteps.get(lane);
        if (held != null && held.scheduler().spec().equals(spec)) {
            held.updateKeyHash(keyHash);
            reply.accept(Result.of(held.scheduler().ledger()));
            return;
        }
        mOpener.open(new StepSubmission(lane, trainer, keyHash, spec, reply));
    }

    private void holdStep(StepSubmission submission, StepOpener.Opening opening) {
        Lane lane = submission.lane();
        EnvironmentDocument.Trainer trainer = submission.trainer();
        StepSpec spec = submission.spec();
        long stalenessBound =
                mConfiguration
                        .get()
                        .document()
                        .model(trainer.model())
                        .map(m -> m.stalenessBoundVersions())
                        .orElse(0L);
        StepScheduler scheduler =
                new StepScheduler(
                        spec, opening.ledger(), stalenessBound, trainer.deliverySamples());
        ActiveStep step =
                new ActiveStep(scheduler, trainer, submission.keyHash(), opening.version());
        Optional.ofNullable(mSteps.put(lane, step))
                .flatMap(ActiveStep::takePoll)
                .ifPresent(p -> p.reply().fail(Failure.of(ErrorKind.CONFLICT, "a newer step")));
        sLog.atInfo().log(
                "opened step %d of trainer %s lane %d: %d of %d samples to deliver",
                spec.step(),
                lane.trainer(),
                lane.number(),
                opening.ledger().total() - opening.ledger().deliveredSlots().cardinality(),
                opening.ledger().total());
        startSlots(step);
    }

    // Running

    private void startSlots(ActiveStep step) {
        if (mNowMs.getAsLong() < step.nextRunMs()) {
            return;
        }
        ServiceId model = step.trainer().model();
        int slots = mTargets.usableTargets(model).stream().mapToInt(t -> t.load().slots()).sum();
        int capacity = (int) Math.ceil(slots * QUEUE_FACTOR);
        while (step.scheduler().runningCount() < capacity && !step.scheduler().hasNoOpenSlots()) {
            int slot = step.scheduler().takeOpenSlot().orElseThrow();
            if (!startSlot(step, slot)) {
                return;
            }
        }
        if (step.scheduler().hasNoOpenSlots()) {
            hedge(step);
        }
    }

    /** Starts a copy of a slot and returns whether its request was admitted. */
    private boolean startSlot(ActiveStep step, int slot) {
        step.recordStart(slot, mNowMs.getAsLong());
        if (mRequests.admit(spec(step, slot), sink(step, slot)).isEmpty()) {
            step.setNextRunMs(mNowMs.getAsLong() + RETRY_MS);
            return false;
        }
        return true;
    }

    /** Hedges the late slots at the end of a step: the copy that ends first counts. */
    private void hedge(ActiveStep step) {
        for (int slot : step.selectHedges(mNowMs.getAsLong())) {
            mTelemetry.count("hedges_total");
            if (!startSlot(step, slot)) {
                return;
            }
        }
    }

    private RequestSpec spec(ActiveStep step, int slot) {
        EnvironmentDocument.Trainer trainer = step.trainer();
        EnvironmentDocument.Bounds bounds = mConfiguration.get().document().bounds();
        StepSpec.Group group =
                step.scheduler().spec().groups().get(step.scheduler().slot(slot).group());
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
                oldestUsefulVersion(trainer.model()),
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

    /**
     * Returns the oldest useful version: samples of an older one would be over the staleness bound
     * at delivery.
     */
    private WeightVersion oldestUsefulVersion(ServiceId model) {
        long stalenessBound =
                mConfiguration
                        .get()
                        .document()
                        .model(model)
                        .map(m -> m.stalenessBoundVersions())
                        .orElse(0L);
        long active = mFollower.desiredWeights().desired(model).active().number();
        return WeightVersion.of(Math.max(1, active - stalenessBound));
    }

    private SampleSink sink(ActiveStep step, int slot) {
        return new SampleSink(
                step.scheduler().spec().step(),
                step.scheduler().slot(slot),
                sample -> onSample(step, slot, sample),
                reason -> onSampleFailure(step, slot));
    }

    private void onSample(ActiveStep step, int slot, Sample sample) {
        step.recordSample(slot, mNowMs.getAsLong());
        step.recordEnd(slot);
        boolean isKept = step.scheduler().onSampleFinished(slot, sample, activeVersion(step));
        mTelemetry.count("samples_total", "outcome", isKept ? "kept" : "dropped");
    }

    private void onSampleFailure(ActiveStep step, int slot) {
        if (!step.recordEnd(slot)) {
            step.scheduler().onSlotFailed(slot);
        }
        mTelemetry.count("samples_total", "outcome", "failed");
    }

    private WeightVersion activeVersion(ActiveStep step) {
        return mFollower.desiredWeights().desired(step.trainer().model()).active();
    }

    // Delivery

    /** Accepts a trainer's poll, which replaces an earlier one. */
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
        step.replacePoll(poll)
                .ifPresent(
                        p -> p.reply().fail(Failure.of(ErrorKind.CONFLICT, "a newer poll came")));
        servePoll(lane, step);
    }

    /** Checks a trainer's acknowledgement; its next poll carries the same delivery number. */
    Result<StepLedger> acknowledge(Lane lane, long delivery) {
        ActiveStep step = mSteps.get(lane);
        if (step == null) {
            return Result.fail(ErrorKind.NOT_FOUND, "no step is held here; submit the step again");
        }
        StepLedger ledger = step.scheduler().ledger();
        if (delivery != ledger.delivery() && delivery != ledger.held()) {
            return Result.fail(
                    ErrorKind.CONFLICT,
                    "expected delivery " + ledger.delivery() + ", found " + delivery);
        }
        return Result.of(ledger);
    }

    private void servePoll(Lane lane, ActiveStep step) {
        long nowMs = mNowMs.getAsLong();
        if (step.isWriting(nowMs)) {
            return;
        }
        if (step.proposedWrite().isPresent()) {
            writeLedger(lane, step, step.proposedWrite().get());
            return;
        }
        if (step.waitingPoll().isEmpty()) {
            return;
        }
        DeliveryPoll poll = step.waitingPoll().get();
        DeliveryPlan plan =
                nowMs >= poll.partialAtMs()
                        ? step.scheduler().planPartial(poll.heldDelivery(), activeVersion(step))
                        : step.scheduler().plan(poll.heldDelivery(), activeVersion(step));
        execute(lane, step, poll, plan);
    }

    private void execute(Lane lane, ActiveStep step, DeliveryPoll poll, DeliveryPlan plan) {
        if (plan instanceof DeliveryPlan.Write write) {
            step.proposeWrite(write);
            writeLedger(lane, step, write);
        } else if (plan instanceof DeliveryPlan.Repeat) {
            verifyAndRepeat(lane, step, poll);
        } else if (plan instanceof DeliveryPlan.Complete) {
            step.takePoll();
            poll.reply()
                    .complete(step.scheduler().spec().step(), step.scheduler().ledger().delivery());
        } else if (plan instanceof DeliveryPlan.Mismatch mismatch) {
            step.takePoll();
            poll.reply().fail(Failure.of(ErrorKind.CONFLICT, mismatch.detail()));
        } else if (mNowMs.getAsLong() >= poll.deadlineMs()) {
            step.takePoll();
            poll.reply().notReady();
        }
    }

    /** Repeats the last delivery after checking that this entry still owns the step. */
    private void verifyAndRepeat(Lane lane, ActiveStep step, DeliveryPoll poll) {
        step.setWriting(true, 0);
        FutureResults.deliver(
                mKeyValues.get(ledgerKey(lane)),
                mThread,
                r -> onRepeatVerified(lane, step, poll, r));
    }

    private void onRepeatVerified(
            Lane lane,
            ActiveStep step,
            DeliveryPoll poll,
            Result<Optional<KeyValueService.Entry>> result) {
        step.setWriting(false, 0);
        if (!result.isOk()) {
            step.setWriting(false, mNowMs.getAsLong() + RETRY_MS);
            return;
        }
        long version = result.get().map(KeyValueService.Entry::version).orElse(0L);
        if (version != step.version()) {
            dropStep(lane, step);
            return;
        }
        DeliveryPlan plan = step.scheduler().plan(poll.heldDelivery(), activeVersion(step));
        boolean isSamePoll = step.waitingPoll().equals(Optional.of(poll));
        if (isSamePoll && plan instanceof DeliveryPlan.Repeat repeat) {
            step.takePoll();
            mTelemetry.count("deliveries_total", "outcome", "repeated");
            poll.reply().deliver(repeat.body());
        }
    }

    private void writeLedger(Lane lane, ActiveStep step, DeliveryPlan.Write plan) {
        step.setWriting(true, 0);
        mTelemetry.count("ledger_writes_total");
        FutureResults.deliver(
                mKeyValues.compareAndSwap(
                        ledgerKey(lane), step.version(), JsonText.write(plan.ledger())),
                mThread,
                r -> onLedgerWritten(lane, step, plan, r));
    }

    private void onLedgerWritten(
            Lane lane, ActiveStep step, DeliveryPlan.Write plan, Result<Long> result) {
        if (!result.isOk()) {
            verifyWrite(lane, step, plan);
            return;
        }
        step.setWriting(false, 0);
        onWriteConfirmed(lane, step, result.get());
    }

    /** Reads the stored ledger to learn whether a write failed or only its response was lost. */
    private void verifyWrite(Lane lane, ActiveStep step, DeliveryPlan.Write plan) {
        FutureResults.deliver(
                mKeyValues.get(ledgerKey(lane)),
                mThread,
                r -> onWriteVerified(lane, step, plan, r));
    }

    private void onWriteVerified(
            Lane lane,
            ActiveStep step,
            DeliveryPlan.Write plan,
            Result<Optional<KeyValueService.Entry>> result) {
        step.setWriting(false, mNowMs.getAsLong() + RETRY_MS);
        if (!result.isOk() || result.get().isEmpty()) {
            return;
        }
        KeyValueService.Entry entry = result.get().get();
        if (entry.version() == step.version()) {
            return;
        }
        boolean isOwnWrite = Arrays.equals(entry.value(), JsonText.write(plan.ledger()));
        if (isOwnWrite && entry.version() == step.version() + 1) {
            step.setWriting(false, 0);
            onWriteConfirmed(lane, step, entry.version());
            return;
        }
        dropStep(lane, step);
    }

    private void onWriteConfirmed(Lane lane, ActiveStep step, long version) {
        Optional<byte[]> body = step.confirmWrite(version);
        if (body.isEmpty()) {
            mTelemetry.count("deliveries_total", "outcome", "voided");
            startSlots(step);
            servePoll(lane, step);
            return;
        }
        mTelemetry.count("deliveries_total", "outcome", "made");
        if (!step.scheduler().isLastDeliveryFresh(activeVersion(step))) {
            // New weights became active during the write, so the poll is planned again.
            servePoll(lane, step);
            return;
        }
        // A poll that arrived during the write may hold another delivery and is planned again.
        step.waitingPoll()
                .filter(p -> p.heldDelivery() == step.scheduler().ledger().held())
                .ifPresent(
                        p -> {
                            step.takePoll();
                            p.reply().deliver(body.get());
                        });
    }

    /** Drops a step that another entry has taken over. */
    private void dropStep(Lane lane, ActiveStep step) {
        mSteps.remove(lane, step);
        sLog.atInfo().log("the step of trainer %s was taken over by another entry", lane.trainer());
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
            startSlots(entry.getValue());
            servePoll(entry.getKey(), entry.getValue());
        }
    }

    private String ledgerKey(Lane lane) {
        return StepOpener.key(mEnvironment, lane);
    }

    private record Completion(ServiceId model, String prompt, int maxTokens, boolean stream) {}
}
