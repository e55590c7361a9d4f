package dev.cactusspan.duty;

import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.TargetPort;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Replies;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Moves the targets of a model to its named weight version, a few at a time, those first that are
 * furthest behind. Only the holder of the duty gives orders.
 */
public final class WeightMover {

    /** Share of a model's targets that load at a time; loads beyond it slow each other down. */
    private static final double LOADING_SHARE = 0.34;

    /** An order whose effect is not seen within this time is given again, in milliseconds. */
    private static final long EFFECT_MS = 3_500;

    /** An order that failed is given again after this time, in milliseconds. */
    private static final long RETRY_MS = 300;

    private final DutyHolder mDuty;
    private final TargetTable mTargets;
    private final TargetPort mPort;
    private final Supplier<Optional<DesiredState>> mDesired;
    private final VmId mSelf;
    private final Executor mThread;
    private final LongSupplier mNowMs;
    private final Map<ModelId, WeightVersion> mNamed = new HashMap<>();
    private final Map<TargetId, Order> mOrders = new HashMap<>();

    /**
     * Creates a mover; it works when it is ticked.
     *
     * @param duty the duty of moving weights
     * @param targets the targets
     * @param port gives orders
     * @param desired gives the desired state in force
     * @param self this VM
     * @param thread the thread on which everything happens
     * @param nowMs steady clock in milliseconds
     */
    public WeightMover(
            DutyHolder duty,
            TargetTable targets,
            TargetPort port,
            Supplier<Optional<DesiredState>> desired,
            VmId self,
            Executor thread,
            LongSupplier nowMs) {
        mDuty = duty;
        mTargets = targets;
        mPort = port;
        mDesired = desired;
        mSelf = self;
        mThread = thread;
        mNowMs = nowMs;
    }

    /** An order that was given; its effect shows in the target's entry. */
    private record Order(WeightVersion version, long untilMs) {}

    // Operations

    /**
     * Takes a named version.
     *
     * @param model the model
     * @param version the version that its targets are to hold
     */
    public void named(ModelId model, WeightVersion version) {
        mNamed.merge(model, version, (a, b) -> b.isAfter(a) ? b : a);
        Decision.of("version_named")
                .with("model", model.value())
                .with("version", version.number())
                .info();
    }

    /** Gives the orders that are due. */
    public void tick() {
        if (mDuty.fencing().isEmpty()) {
            return;
        }
        mOrders.keySet().removeIf(id -> mTargets.find(id).isEmpty());
        mNamed.forEach(this::move);
    }

    private void move(ModelId model, WeightVersion version) {
        long nowMs = mNowMs.getAsLong();
        List<TargetState> holding = holding(model);
        List<TargetState> behind = new ArrayList<>();
        int loading = 0;
        for (TargetState target : holding) {
            if (!version.isAfter(target.record().version(model))) {
                continue;
            }
            if (isOrdered(target.record(), nowMs)) {
                loading++;
            } else {
                behind.add(target);
            }
        }
        int room = (int) Math.ceil(holding.size() * LOADING_SHARE) - loading;
        behind.sort(
                Comparator.comparing((TargetState t) -> t.record().version(model))
                        .thenComparingInt(TargetState::inFlight));
        for (TargetState target : behind.subList(0, Math.max(0, Math.min(room, behind.size())))) {
            order(target.record(), model, version, nowMs);
        }
    }

    private boolean isOrdered(TargetRecord target, long nowMs) {
        Order order = mOrders.get(target.id());
        return order != null && nowMs < order.untilMs();
    }

    private List<TargetState> holding(ModelId model) {
        List<TargetState> holding = new ArrayList<>();
        Optional<DesiredState> desired = mDesired.get();
        for (TargetState target : mTargets.all()) {
            TargetRecord record = target.record();
            boolean isHolding =
                    !record.isLeaving()
                            && (record.versions().containsKey(model)
                                    || desired.map(d -> d.holds(record.service(), model))
                                            .orElse(false));
            if (isHolding) {
                holding.add(target);
            }
        }
        return holding;
    }

    private void order(TargetRecord target, ModelId model, WeightVersion version, long nowMs) {
        FencingNumber fencing = mDuty.fencing().orElseThrow();
        mOrders.put(target.id(), new Order(version, nowMs + EFFECT_MS));
        mDuty.acted();
        Replies.on(
                mPort.orderVersion(target, model, version, mSelf, fencing),
                mThread,
                r ->
                        r.fold(
                                f -> failed(target, version, f),
                                outcome -> taken(target, model, version, fencing, outcome)));
    }

    private Void failed(TargetRecord target, WeightVersion version, Failure failure) {
        Decision.of("order_failed")
                .with("target", target.id().value())
                .with("version", version.number())
                .with("reason", failure.toString())
                .info();
        return null;
    }

    private Void taken(
            TargetRecord target,
            ModelId model,
            WeightVersion version,
            FencingNumber fencing,
            TargetPort.OrderOutcome outcome) {
        Decision.of("order_given")
                .with("target", target.id().value())
                .with("model", model.value())
                .with("from_version", target.version(model).number())
                .with("version", version.number())
                .with("fencing", fencing.number())
                .with("outcome", outcome.name())
                .info();
        switch (outcome) {
            case FENCED -> mDuty.refused();
            case BUSY, REFUSED ->
                    mOrders.put(target.id(), new Order(version, mNowMs.getAsLong() + RETRY_MS));
            default -> {
                // The target's entry will show the version.
            }
        }
        return null;
    }
}
