package dev.cactusspan.entry;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.config.EnvironmentDocument.Scaling;
import dev.cactusspan.id.DutyId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.VmId;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.platform.TargetInterface;
import dev.cactusspan.platform.TargetOrder;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.scaling.ScalingBounds;
import dev.cactusspan.scaling.ScalingPolicy;
import dev.cactusspan.scaling.TargetDemand;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.wire.Message;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Starts and stops the targets of a service in an availability zone. Each order is recorded before
 * it is sent; a recorded order that is not acknowledged is sent again under the same number. A
 * target is stopped only after it has left and is idle.
 */
final class TargetsDuty implements Duty {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final long CHECK_INTERVAL_MS = 1_000;
    private static final long START_LEAD_MS = 120_000;

    private final EnvironmentId mEnvironment;
    private final DutyId mId;
    private final Supplier<Optional<Scaling>> mScaling;
    private final TargetDirectory mTargets;
    private final ScalingPolicy mPolicy;
    private final KeyValueService mKeyValues;
    private final TargetInterface mTargetInterface;
    private final Executor mThread;
    private Optional<TargetLink> mLeaving = Optional.empty();
    private int mExpectedTargets;
    private long mLastOrderMs;
    private boolean mIsBusy;
    private long mNextCheckMs;

    TargetsDuty(
            EnvironmentId environment,
            DutyId id,
            Supplier<Optional<Scaling>> scaling,
            TargetDirectory targets,
            ScalingPolicy policy,
            KeyValueService keyValues,
            TargetInterface targetInterface,
            Executor thread) {
        mEnvironment = environment;
        mId = id;
        mScaling = scaling;
        mTargets = targets;
        mPolicy = policy;
        mKeyValues = keyValues;
        mTargetInterface = targetInterface;
        mThread = thread;
    }

    @Override
    public DutyId id() {
        return mId;
    }

    @Override
    public void tick(Held held, long nowMs) {
        if (mIsBusy || nowMs < mNextCheckMs || mScaling.get().isEmpty()) {
            return;
        }
        mNextCheckMs = nowMs + CHECK_INTERVAL_MS;
        mIsBusy = true;
        FutureResults.deliver(mKeyValues.get(key()), mThread, r -> onRead(held, nowMs, r));
    }

    private String key() {
        return "orders/" + mEnvironment + "/" + mId;
    }

    private void onRead(Held held, long nowMs, Result<Optional<KeyValueService.Entry>> result) {
        Result<Stored> stored = result.flatMap(TargetsDuty::stored);
        Optional<Scaling> scaling = mScaling.get();
        if (!stored.isOk() || scaling.isEmpty() || held.fencingNumber().isEmpty()) {
            mIsBusy = false;
            return;
        }
        if (!stored.get().intent().isDone()) {
            sendOrder(held, stored.get());
            return;
        }
        decide(held, scaling.get(), stored.get(), nowMs);
    }

    private static Result<Stored> stored(Optional<KeyValueService.Entry> entry) {
        if (entry.isEmpty()) {
            return Result.of(new Stored(0, Intent.NONE));
        }
        return JsonText.read(entry.get().value(), Intent.class)
                .map(intent -> new Stored(entry.get().version(), intent));
    }

    // Decisions

    private void decide(Held held, Scaling scaling, Stored stored, long nowMs) {
        List<TargetLink> targets =
                mTargets.targetsOf(scaling.service(), scaling.availabilityZone());
        List<TargetLink> serving = targets.stream().filter(TargetLink::isUsable).toList();
        int listed = mTargets.listedCount(scaling.service(), scaling.availabilityZone());
        int starting = expectedTargets(listed, nowMs) - targets.size();
        int requests =
                serving.stream().mapToInt(t -> t.load().inFlight() + t.load().queued()).sum();
        int slots = serving.stream().mapToInt(t -> t.load().slots()).max().orElse(1);
        TargetDemand demand =
                new TargetDemand(serving.size(), Math.max(0, starting), requests, slots);
        ScalingBounds bounds = new ScalingBounds(scaling.minTargets(), scaling.maxTargets());
        int desired = mPolicy.desiredTargets(demand, bounds, nowMs);
        int present = demand.targets() + demand.starting();
        if (desired > present) {
            mExpectedTargets = present + 1;
            mLastOrderMs = nowMs;
            recordOrder(held, scaling, stored, TargetOrder.Kind.START, VmId.of(""));
            return;
        }
        if (mLeaving.isPresent()) {
            stopIfIdle(held, scaling, stored);
            return;
        }
        if (desired < present) {
            requestLeave(held, serving);
        }
        mIsBusy = false;
    }

    /** Counts an ordered target as starting until it is listed or its lead time has elapsed. */
    private int expectedTargets(int listed, long nowMs) {
        boolean isExpected = mExpectedTargets > listed && nowMs - mLastOrderMs < START_LEAD_MS;
        return isExpected ? mExpectedTargets : listed;
    }

    /** Requests the least loaded target to leave; it is stopped once it is idle. */
    private void requestLeave(Held held, List<TargetLink> candidates) {
        Optional<FencingNumber> fencing = held.fencingNumber();
        Optional<TargetLink> leastLoaded =
                candidates.stream().min(Comparator.comparingInt(t -> t.load().inFlight()));
        if (fencing.isPresent() && leastLoaded.isPresent()) {
            mLeaving = leastLoaded;
            leastLoaded.get().link().send(new Message.Leave(mId, fencing.get()));
        }
    }

    private void stopIfIdle(Held held, Scaling scaling, Stored stored) {
        TargetLink target = mLeaving.orElseThrow();
        Message.Load load = target.load();
        boolean isIdle = load.leaving() && load.inFlight() == 0 && load.queued() == 0;
        if (isIdle) {
            mLeaving = Optional.empty();
            recordOrder(held, scaling, stored, TargetOrder.Kind.STOP, target.hello().vm());
            return;
        }
        if (!mTargets.targets().contains(target)) {
            mLeaving = Optional.empty();
        }
        mIsBusy = false;
    }

    // Orders

    private void recordOrder(
            Held held, Scaling scaling, Stored stored, TargetOrder.Kind kind, VmId vm) {
        Optional<FencingNumber> fencing = held.fencingNumber();
        if (fencing.isEmpty()) {
            mIsBusy = false;
            return;
        }
        TargetOrder order =
                new TargetOrder(
                        scaling.service(),
                        scaling.availabilityZone(),
                        stored.intent().sequence() + 1,
                        kind,
                        vm,
                        fencing.get());
        Intent intent = new Intent(order, false);
        FutureResults.deliver(
                mKeyValues.compareAndSwap(key(), stored.version(), JsonText.write(intent)),
                mThread,
                r -> {
                    if (!r.isOk()) {
                        mIsBusy = false;
                        return;
                    }
                    sendOrder(held, new Stored(r.get(), intent));
                });
    }

    /** Sends a recorded order; whether the duty is held is checked directly before sending. */
    private void sendOrder(Held held, Stored stored) {
        Optional<FencingNumber> fencing = held.fencingNumber();
        if (fencing.isEmpty()) {
            mIsBusy = false;
            return;
        }
        TargetOrder order = stored.intent().order().withFencing(fencing.get());
        FutureResults.deliver(mTargetInterface.send(order), mThread, r -> onOrderSent(stored, r));
    }

    private void onOrderSent(Stored stored, Result<Boolean> result) {
        if (!result.getOrElse(false)) {
            mIsBusy = false;
            return;
        }
        sLog.atInfo().log("order %s was acknowledged", stored.intent().order());
        Intent done = new Intent(stored.intent().order(), true);
        FutureResults.deliver(
                mKeyValues.compareAndSwap(key(), stored.version(), JsonText.write(done)),
                mThread,
                r -> mIsBusy = false);
    }

    private record Stored(long version, Intent intent) {}

    /** A recorded order; the absence of an order counts as done. */
    private record Intent(TargetOrder order, boolean isDone) {
        static final Intent NONE = new Intent(null, true);

        long sequence() {
            return order == null ? 0 : order.sequence();
        }
    }
}
