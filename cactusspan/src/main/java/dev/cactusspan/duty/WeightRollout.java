package dev.cactusspan.duty;

import dev.cactusspan.fleet.TargetLoad;
import dev.cactusspan.fleet.TargetPort;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.placement.ModelDemand;
import dev.cactusspan.placement.ModelPlacement;
import dev.cactusspan.placement.ModelShares;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Updates the assigned targets of each model to its desired weight version, a few at a time. A
 * target that is one version behind may still serve current steps, so it is updated once it is
 * idle, or after a maximum wait. A target that is further behind is updated immediately. Only the
 * holder of the duty sends orders.
 */
public final class WeightRollout {
    /** Maximum share of the targets that load at the same time; more loads slow each other down. */
    private static final double LOADING_SHARE = 0.3;

    private static final int MIN_LOADING = 2;

    /**
     * At most one in this many of the targets assigned to a model loads at a time; the others
     * serve.
     */
    private static final int ASSIGNED_PARTS = 3;

    /** An order without a visible effect within this time is sent again, in milliseconds. */
    private static final long EFFECT_TIMEOUT_MS = 3_500;

    /**
     * An order that was refused, also by a busy target, is sent again after this time, in
     * milliseconds.
     */
    private static final long RETRY_MS = 300;

    /** Maximum wait for a target that is one version behind to become idle, in milliseconds. */
    private static final long MAX_IDLE_WAIT_MS = 1_000;

    /**
     * Delay after a new desired version before idle targets are ordered, in milliseconds. A step
     * may start right after its version is announced, and targets are not taken away from it.
     */
    private static final long STEP_GRACE_MS = 300;

    /**
     * Minimum time between queries of a target's load, in milliseconds; its load reports lag by 200
     * ms.
     */
    private static final long LOAD_QUERY_INTERVAL_MS = 250;

    private final DutyHolder mDuty;
    private final TargetTable mTargets;
    private final TargetPort mPort;
    private final VmId mSelf;
    private final Executor mThread;
    private final LongSupplier mNowMs;
    private final Map<ModelId, DesiredVersion> mDesired = new HashMap<>();
    private final Map<TargetId, Order> mOrders = new HashMap<>();
    private final Map<TargetId, Long> mLoadQueriedMs = new HashMap<>();
    private final ModelDemand mDemand = new ModelDemand();
    private final ModelShares mShares = new ModelShares();
    private Map<ModelId, Integer> mLoggedShares = Map.of();
    private int mMaxLoading = MIN_LOADING;

    /**
     * Creates a rollout, which acts on {@link #tick}.
     *
     * @param duty the duty of rolling out weights
     * @param targets the targets
     * @param port sends orders to targets
     * @param self this VM
     * @param thread the single thread on which all calls and callbacks run
     * @param nowMs monotonic clock in milliseconds
     */
    public WeightRollout(
            DutyHolder duty,
            TargetTable targets,
            TargetPort port,
            VmId self,
            Executor thread,
            LongSupplier nowMs) {
        mDuty = duty;
        mTargets = targets;
        mPort = port;
        mSelf = self;
        mThread = thread;
        mNowMs = nowMs;
    }

    /**
     * Handles the current record of a target, which shows whether an order has taken effect.
     *
     * @param record the record as reported by the target
     */
    public void onTargetRecord(TargetRecord record) {
        Order order = mOrders.get(record.id());
        if (order != null && !order.version().isAfter(record.version(order.model()))) {
            mOrders.remove(record.id());
        }
    }

    /** An order that was sent; its effect is visible in the target's record. */
    private record Order(ModelId model, WeightVersion version, long untilMs) {}

    /** A desired version and when it was set, in milliseconds of the monotonic clock. */
    private record DesiredVersion(WeightVersion version, long sinceMs) {}

    // Operations

    /**
     * Sets the desired version of a model; versions that are not newer than the present one are
     * ignored.
     *
     * @param model the model
     * @param version the version that its assigned targets should hold
     */
    public void setDesiredVersion(ModelId model, WeightVersion version) {
        DesiredVersion known = mDesired.get(model);
        if (known != null && !version.isAfter(known.version())) {
            return;
        }
        mDesired.put(model, new DesiredVersion(version, mNowMs.getAsLong()));
        Decision.of("version_named")
                .with("model", model.value())
                .with("version", version.number())
                .info();
    }

    /**
     * Records the work that a batch asks for; each batch counts once.
     *
     * @param batch the batch
     * @param model its model
     * @param tokens expected length of all its texts
     */
    public void recordBatch(BatchId batch, ModelId model, long tokens) {
        mDemand.add(batch, model, tokens, mNowMs.getAsLong());
    }

    /** Sends the orders that are due. */
    public void tick() {
        if (mDuty.fencing().isEmpty() || mDesired.isEmpty()) {
            return;
        }
        mOrders.keySet().removeIf(id -> mTargets.find(id).isEmpty());
        List<TargetRecord> holding = new ArrayList<>();
        Set<ModelId> models = new HashSet<>(mDesired.keySet());
        for (TargetState target : mTargets.all()) {
            TargetRecord record = target.record();
            if (mTargets.acceptsWork(target) && !record.versions().isEmpty()) {
                holding.add(record);
                models.addAll(record.versions().keySet());
            }
        }
        mMaxLoading = Math.max(MIN_LOADING, (int) (holding.size() * LOADING_SHARE));
        long nowMs = mNowMs.getAsLong();
        Map<ModelId, Integer> shares = updateShares(models, holding.size(), nowMs);
        Map<ModelId, List<TargetRecord>> placement = ModelPlacement.assign(shares, holding);
        placement.forEach(this::rollOut);
        findBusiest(shares, nowMs)
                .ifPresent(
                        model ->
                                rollOut(
                                        model,
                                        ModelPlacement.spill(
                                                model,
                                                mDesired.get(model).version(),
                                                placement.get(model),
                                                holding)));
    }

    private Map<ModelId, Integer> updateShares(Set<ModelId> models, int targets, long nowMs) {
        Map<ModelId, Integer> shares =
                mShares.update(models, targets, m -> mDemand.tokens(m, nowMs));
        if (!shares.equals(mLoggedShares)) {
            mLoggedShares = Map.copyOf(shares);
            Decision.of("shares_changed")
                    .with("shares", shares.toString())
                    .with("targets", targets)
                    .info();
        }
        return shares;
    }

    /** Returns the model with the most work per target, empty if no demand is known. */
    private Optional<ModelId> findBusiest(Map<ModelId, Integer> shares, long nowMs) {
        return mDesired.keySet().stream()
                .filter(m -> mDemand.tokens(m, nowMs) > 0 && shares.containsKey(m))
                .max(Comparator.comparingDouble(m -> mDemand.tokens(m, nowMs) / shares.get(m)));
    }

    private void rollOut(ModelId model, List<TargetRecord> assigned) {
        DesiredVersion desired = mDesired.get(model);
        if (desired == null) {
            return;
        }
        long nowMs = mNowMs.getAsLong();
        List<TargetRecord> behind =
                assigned.stream()
                        .filter(t -> desired.version().isAfter(t.version(model)))
                        .filter(t -> !isOrdered(t, nowMs))
                        .sorted(Comparator.comparing(t -> t.version(model)))
                        .toList();
        for (TargetRecord target : behind) {
            boolean isQueryDue =
                    nowMs - mLoadQueriedMs.getOrDefault(target.id(), 0L) >= LOAD_QUERY_INTERVAL_MS;
            if (isQueryDue
                    && hasLoadingCapacity(assigned, isUrgent(target, model, desired), nowMs)) {
                queryLoad(target, model, desired, assigned, nowMs);
            }
        }
    }

    /**
     * Queries the load of a target, and sends it an order if it may be taken out of service now.
     * The order contains the number of orders that the target has accepted so far, so that it has
     * no effect after a newer order.
     */
    private void queryLoad(
            TargetRecord target,
            ModelId model,
            DesiredVersion desired,
            List<TargetRecord> assigned,
            long nowMs) {
        mLoadQueriedMs.put(target.id(), nowMs);
        FutureResults.deliver(
                mPort.load(target),
                mThread,
                (Result<TargetLoad> r) ->
                        r.fold(
                                f -> logOrderFailure(target, desired.version(), f),
                                load -> onLoad(target, model, desired, assigned, load)));
    }

    private Void onLoad(
            TargetRecord target,
            ModelId model,
            DesiredVersion desired,
            List<TargetRecord> assigned,
            TargetLoad load) {
        long nowMs = mNowMs.getAsLong();
        boolean isUrgent = isUrgent(target, model, desired);
        long sinceMs = nowMs - desired.sinceMs();
        boolean isDue =
                isUrgent
                        || (load.isIdle() && sinceMs > STEP_GRACE_MS)
                        || sinceMs > MAX_IDLE_WAIT_MS;
        boolean isCurrent = desired.equals(mDesired.get(model)) && mDuty.fencing().isPresent();
        if (isDue
                && isCurrent
                && !load.isBusy()
                && hasLoadingCapacity(assigned, isUrgent, nowMs)
                && !isOrdered(target, nowMs)) {
            order(target, model, desired.version(), load.orders(), nowMs);
        }
        return null;
    }

    /**
     * Tells whether one more target may load. The number of loading targets is limited overall, and
     * per model as well unless the target is too far behind to serve current steps.
     */
    private boolean hasLoadingCapacity(List<TargetRecord> assigned, boolean isUrgent, long nowMs) {
        long loadingAssigned = assigned.stream().filter(t -> isOrdered(t, nowMs)).count();
        long maxLoadingAssigned = Math.max(1, assigned.size() / ASSIGNED_PARTS);
        return loadingCount(nowMs) < mMaxLoading
                && (isUrgent || loadingAssigned < maxLoadingAssigned);
    }

    private static boolean isUrgent(TargetRecord target, ModelId model, DesiredVersion desired) {
        return desired.version().isAfter(target.version(model).next());
    }

    private int loadingCount(long nowMs) {
        return (int) mOrders.values().stream().filter(o -> nowMs < o.untilMs()).count();
    }

    private boolean isOrdered(TargetRecord target, long nowMs) {
        Order order = mOrders.get(target.id());
        return order != null && nowMs < order.untilMs();
    }

    private void order(
            TargetRecord target,
            ModelId model,
            WeightVersion version,
            long expectedOrders,
            long nowMs) {
        FencingNumber fencing = mDuty.fencing().orElseThrow();
        mOrders.put(target.id(), new Order(model, version, nowMs + EFFECT_TIMEOUT_MS));
        mDuty.recordAction();
        FutureResults.deliver(
                mPort.orderVersion(target, model, version, mSelf, fencing, expectedOrders),
                mThread,
                r ->
                        r.fold(
                                f -> logOrderFailure(target, version, f),
                                outcome ->
                                        onOrderOutcome(target, model, version, fencing, outcome)));
    }

    private Void logOrderFailure(TargetRecord target, WeightVersion version, Failure failure) {
        Decision.of("order_failed")
                .with("target", target.id().value())
                .with("version", version.number())
                .with("reason", failure.toString())
                .info();
        return null;
    }

    private Void onOrderOutcome(
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
            case FENCED -> mDuty.onFenced();
            case BUSY, REFUSED ->
                    mOrders.put(
                            target.id(), new Order(model, version, mNowMs.getAsLong() + RETRY_MS));
            default -> {
                // The target's record will show the version.
            }
        }
        return null;
    }
}
