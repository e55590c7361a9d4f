package dev.cactusspan.gateway;

import dev.cactusspan.batch.BatchStore;
import dev.cactusspan.duty.DutyHolder;
import dev.cactusspan.fleet.ColdRates;
import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.placement.RefreshInterval;
import dev.cactusspan.platform.PlatformReader;
import dev.cactusspan.region.RegionMap;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.PrefixMirror;
import dev.cactusspan.store.StoredItem;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * This process's view of the fleet, mirrored from the store: the desired state, the targets, the
 * other processes, owners of batches and holders of duties.
 */
final class FleetView {
    /** Prefix of the keys that each process mirrors. */
    static final String CONTROL_PREFIX = "cs/control/";

    /** Maximum age of a list of processes that may be acted on, in milliseconds. */
    private static final long MAX_LIST_AGE_MS = 5_000;

    /** Time after an outage until the store is considered healthy again, in milliseconds. */
    private static final long HEALTHY_AFTER_MS = 2_500;

    private final NodeDirectory mNodes;
    private final LongSupplier mNowMs;
    private final RefreshInterval mRefreshInterval;
    private final RegionMap mRegions;
    private final TargetTable mTargets;
    private final PrefixMirror mDesiredStateMirror;
    private final PrefixMirror mTargetMirror;
    private final Optional<PrefixMirror> mEvacuationMirror;
    private final PrefixMirror mControlMirror;
    private final PrefixMirror mOwnerMirror;
    private final PrefixMirror mVersionMirror;
    private Optional<DesiredState> mDesired = Optional.empty();
    private boolean mHasBoundRequests;
    private final double mColdOverage;
    private BiConsumer<String, Optional<StoredItem>> mOnOwner = (key, item) -> {};
    private Consumer<Optional<StoredItem>> mOnUsageDuty = item -> {};
    private Consumer<Optional<StoredItem>> mOnWeightDuty = item -> {};
    private BiConsumer<ModelId, WeightVersion> mOnVersion = (model, version) -> {};
    private Consumer<TargetRecord> mOnTarget = record -> {};
    private BiConsumer<String, Optional<StoredItem>> mOnShared = (key, item) -> {};

    FleetView(
            KeyStore store,
            NodeDirectory nodes,
            TargetTable targets,
            Executor thread,
            Supplier<Backoff> backoffs,
            FollowTimes times,
            double coldOverage,
            LongSupplier nowMs) {
        mNodes = nodes;
        mRegions = targets.regions();
        mTargets = targets;
        mColdOverage = coldOverage;
        mRefreshInterval = new RefreshInterval(times.drainMs());
        mNowMs = nowMs;
        Mirrors mirrors =
                (prefix, reconnectMs, listener) ->
                        new PrefixMirror(
                                store,
                                prefix,
                                thread,
                                backoffs.get(),
                                reconnectMs,
                                nowMs,
                                listener);
        long reconnectMs = times.reconnectMs();
        mDesiredStateMirror =
                mirrors.create(
                        PlatformReader.DESIRED_STATE_KEY, reconnectMs, this::operatorChanged);
        mVersionMirror =
                mirrors.create(PlatformReader.VERSION_PREFIX, reconnectMs, this::operatorChanged);
        mOwnerMirror =
                mirrors.create(
                        BatchStore.OWNER_PREFIX,
                        reconnectMs,
                        (key, item) -> mOnOwner.accept(key, item));
        mTargetMirror =
                mirrors.create(PlatformReader.TARGET_PREFIX, reconnectMs, this::targetChanged);
        mEvacuationMirror =
                times.evacuateMs() <= 0
                        ? Optional.empty()
                        : Optional.of(
                                mirrors.create(
                                        PlatformReader.EVACUATION_PREFIX,
                                        Math.min(reconnectMs, times.evacuateMs()),
                                        this::evacuationChanged));
        mControlMirror = mirrors.create(CONTROL_PREFIX, reconnectMs, this::controlChanged);
    }

    /** Creates mirrors of this process's store. */
    private interface Mirrors {
        PrefixMirror create(String prefix, long reconnectMs, PrefixMirror.Listener listener);
    }

    void setListeners(
            BiConsumer<String, Optional<StoredItem>> onOwner,
            Consumer<Optional<StoredItem>> onUsageDuty,
            Consumer<Optional<StoredItem>> onWeightDuty,
            BiConsumer<ModelId, WeightVersion> onVersion,
            Consumer<TargetRecord> onTarget,
            BiConsumer<String, Optional<StoredItem>> onShared) {
        mOnOwner = onOwner;
        mOnUsageDuty = onUsageDuty;
        mOnWeightDuty = onWeightDuty;
        mOnVersion = onVersion;
        mOnTarget = onTarget;
        mOnShared = onShared;
    }

    /**
     * Updates the mirrors that this process needs. Each response of the store has a cost, so only
     * the holder of the weights duty watches named versions, and only owners of batches, the
     * sweeper and that holder watch owners.
     */
    void tick(boolean isOrdering, boolean isSweeper, int openBatches, int waitingItems) {
        mTargetMirror.setGatherMs(mRefreshInterval.ms(isOrdering, openBatches, waitingItems));
        tick(mDesiredStateMirror);
        mEvacuationMirror.ifPresent(this::tick);
        mControlMirror.tick();
        tick(mTargetMirror);
        if (isOrdering) {
            tick(mVersionMirror);
        }
        if (openBatches > 0 || isSweeper || isOrdering) {
            tick(mOwnerMirror);
        }
        mTargets.tick(mNowMs.getAsLong());
    }

    /**
     * Drives a mirror. While the store is away only the mirror of shared state goes on asking, as
     * each call has a price; the others follow at once when it is answered.
     */
    private void tick(PrefixMirror mirror) {
        boolean isAway = mControlMirror.isLoaded() && !mControlMirror.isHealthy();
        if (mirror.isHealthy() || !mirror.isLoaded() || !isAway) {
            mirror.tick();
        }
    }

    /** Returns whether this process takes over batches that other processes have abandoned. */
    boolean isSweeper(String self) {
        return isListReliable() && mNodes.choose(NodeDirectory.SWEEPER).equals(Optional.of(self));
    }

    /**
     * Returns whether this process takes over abandoned batches that are bound to its region, which
     * the sweeper may be outside of.
     */
    boolean isRegionSweeper(String self, AvailabilityZoneId zone) {
        return mHasBoundRequests
                && isListReliable()
                && mNodes.choose(
                                NodeDirectory.SWEEPER,
                                node -> mRegions.isSameRegion(node.zone(), zone))
                        .equals(Optional.of(self));
    }

    private boolean isListReliable() {
        return mControlMirror.isHealthy()
                && mNowMs.getAsLong() - mControlMirror.confirmedMs() < MAX_LIST_AGE_MS;
    }

    /** Records that all that had arrived from the store at a time has been handled. */
    void recordReadThrough(long atMs) {
        mDesiredStateMirror.recordReadThrough(atMs);
        mOwnerMirror.recordReadThrough(atMs);
    }

    // Changes

    private void operatorChanged(String key, Optional<StoredItem> item) {
        if (key.equals(PlatformReader.DESIRED_STATE_KEY) && item.isPresent()) {
            read(key, PlatformReader.desiredState(item.get().value()), this::applyDesiredState);
        } else if (key.startsWith(PlatformReader.VERSION_PREFIX) && item.isPresent()) {
            ModelId model = ModelId.of(key.substring(PlatformReader.VERSION_PREFIX.length()));
            read(
                    key,
                    PlatformReader.namedVersion(item.get().value()),
                    version -> mOnVersion.accept(model, version));
        }
    }

    private void applyDesiredState(DesiredState desired) {
        boolean isNewer = mDesired.map(d -> desired.revision().isAfter(d.revision())).orElse(true);
        if (!isNewer) {
            return;
        }
        mDesired = Optional.of(desired);
        mHasBoundRequests |= desired.hasBoundRequests();
        mTargets.setColdRates(ColdRates.of(desired.services(), mColdOverage));
        Decision.of("desired_state_in_force").with("revision", desired.revision().number()).info();
    }

    private void targetChanged(String key, Optional<StoredItem> item) {
        if (item.isEmpty()) {
            TargetId id = TargetId.of(key.substring(PlatformReader.TARGET_PREFIX.length()));
            removeTarget(id);
            return;
        }
        Result<TargetRecord> record = PlatformReader.target(key, item.get().value());
        record.fold(
                f -> {
                    reportUnreadable(key, f);
                    removeTarget(TargetId.of(key.substring(PlatformReader.TARGET_PREFIX.length())));
                    return null;
                },
                r -> {
                    putTarget(r);
                    return null;
                });
    }

    /** Follows an evacuation, whose key says all; its value has no content. */
    private void evacuationChanged(String key, Optional<StoredItem> item) {
        AvailabilityZoneId zone =
                AvailabilityZoneId.of(key.substring(PlatformReader.EVACUATION_PREFIX.length()));
        boolean isChanged =
                item.isPresent()
                        ? mTargets.evacuate(zone)
                        : mTargets.takeBack(zone, mNowMs.getAsLong());
        if (!isChanged) {
            return;
        }
        List<TargetState> inZone =
                mTargets.all().stream().filter(t -> t.record().zone().equals(zone)).toList();
        Decision.of(item.isPresent() ? "zone_evacuated" : "zone_taken_back")
                .with("zone", zone.value())
                .with("revision", item.map(StoredItem::revision).orElse(0L))
                .with("targets", inZone.size())
                .with("in_flight", inZone.stream().mapToInt(TargetState::inFlight).sum())
                .info();
    }

    private void putTarget(TargetRecord record) {
        mTargets.put(record);
        mOnTarget.accept(record);
        Decision.of("target_seen")
                .with("target", record.id().value())
                .with("service", record.service().value())
                .with("zone", record.zone().value())
                .with("software", record.software().value())
                .with("is_leaving", record.isLeaving())
                .with("versions", record.versions().toString())
                .info();
    }

    private void removeTarget(TargetId id) {
        boolean isStoreHealthy =
                mTargetMirror.isHealthy()
                        && mNowMs.getAsLong() - mTargetMirror.recoveredMs() > HEALTHY_AFTER_MS;
        if (mTargets.find(id).isEmpty()) {
            return;
        }
        mTargets.remove(id, mNowMs.getAsLong(), isStoreHealthy);
        Decision.of("target_gone")
                .with("target", id.value())
                .with("is_store_well", isStoreHealthy)
                .info();
    }

    private void controlChanged(String key, Optional<StoredItem> item) {
        if (key.startsWith(NodeDirectory.PREFIX)) {
            mNodes.changed(key, item);
        } else if (key.equals(DutyHolder.PREFIX + "usage")) {
            mOnUsageDuty.accept(item);
        } else if (key.equals(DutyHolder.PREFIX + "weights")) {
            mOnWeightDuty.accept(item);
        } else {
            mOnShared.accept(key, item);
        }
    }

    private static <T> void read(String key, Result<T> result, Consumer<T> consumer) {
        result.fold(
                f -> {
                    reportUnreadable(key, f);
                    return null;
                },
                value -> {
                    consumer.accept(value);
                    return null;
                });
    }

    private static void reportUnreadable(String key, Failure failure) {
        Decision.of("unreadable_value").with("key", key).with("reason", failure.detail()).warn();
    }

    // Accessors

    Optional<DesiredState> desiredState() {
        return mDesired;
    }

    PrefixMirror desiredStateMirror() {
        return mDesiredStateMirror;
    }

    PrefixMirror ownerMirror() {
        return mOwnerMirror;
    }

    TargetTable targets() {
        return mTargets;
    }

    boolean isLoaded() {
        return mDesired.isPresent()
                && mTargetMirror.isLoaded()
                && mControlMirror.isLoaded()
                && mEvacuationMirror.map(PrefixMirror::isLoaded).orElse(true);
    }

    /** Returns whether the store answered the latest call of the mirror of shared state. */
    boolean isStoreAvailable() {
        return mControlMirror.isHealthy();
    }

    long recoveredMs() {
        return mControlMirror.recoveredMs();
    }
}
