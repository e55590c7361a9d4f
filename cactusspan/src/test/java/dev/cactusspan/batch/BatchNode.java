package dev.cactusspan.batch;

import dev.cactusspan.fleet.ClientLimits;
import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.FleetService;
import dev.cactusspan.fleet.ObservingTargets;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.fleet.TargetChooser;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.peer.NodeRecord;
import dev.cactusspan.region.RegionMap;
import dev.cactusspan.region.Residency;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.routing.ZoneDistance;
import dev.cactusspan.store.FakeKeyStore;
import dev.cactusspan.store.ManualThread;
import dev.cactusspan.store.PrefixMirror;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.store.UnreliableKeyStore;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.time.WallClock;
import dev.cactusspan.waiting.Ranks;
import dev.cactusspan.waiting.ServiceLines;
import dev.cactusspan.waiting.ServiceLinesFixture;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/** The batches of one process, with a fake store and fake targets. */
final class BatchNode {
    static final ServiceId ENGINE = ServiceId.of("lm");
    static final ServiceId SCORER = ServiceId.of("app");
    static final long MIN_VERSION = 2;
    static final DesiredState DESIRED = desired();

    private static final long RECONNECT_MS = 4_000;

    private final FakeTargets mPort = new FakeTargets();
    private final TargetTable mTargets =
            new TargetTable(
                    RegionMap.of(
                            Map.of(
                                    AvailabilityZoneId.of("a"),
                                    RegionId.of("ra"),
                                    AvailabilityZoneId.of("b"),
                                    RegionId.of("rb"))));
    private DesiredState mDesired = DESIRED;
    private final NodeDirectory mNodes = new NodeDirectory();
    private final NodeRecord mSelf;
    private final ManualThread mThread;
    private final FakeKeyStore mStore;
    private final UnreliableKeyStore mPath;
    private final PrefixMirror mMirror;
    private final PrefixMirror mOwners;
    private final BatchManager mManager;
    private final ServiceLines mLines;
    private boolean mIsAlive = true;
    private int mRespondedCount;

    BatchNode(String name, FakeKeyStore store, ManualThread thread) {
        this(name, "a", store, thread, thread::nowMs);
    }

    /** Creates a process in another zone; zones a and b are in the regions ra and rb. */
    BatchNode(String name, String zone, FakeKeyStore store, ManualThread thread) {
        this(name, zone, store, thread, thread::nowMs);
    }

    BatchNode(String name, FakeKeyStore store, ManualThread thread, WallClock wallClock) {
        this(name, "a", store, thread, wallClock);
    }

    private BatchNode(
            String name,
            String zone,
            FakeKeyStore store,
            ManualThread thread,
            WallClock wallClock) {
        mThread = thread;
        mStore = store;
        mPath = new UnreliableKeyStore(store, thread);
        mSelf =
                new NodeRecord(
                        VmId.of(name), "1", AvailabilityZoneId.of(zone), "10.0.0.1", 1, false);
        mLines = ServiceLinesFixture.lines(mTargets, thread);
        mManager =
                BatchManagerFactory.create(
                        new BatchManagerFactory.Dependencies(
                                new BatchStore(mPath),
                                mNodes,
                                mSelf.owner(),
                                thread,
                                mTargets,
                                new ObservingTargets(mPort, mTargets, thread::nowMs),
                                new TargetChooser(
                                        z -> ZoneDistance.SAME_ZONE, new SplittableRandom(1)),
                                mLines,
                                new Ranks(() -> Optional.of(mDesired)),
                                () -> Optional.of(mDesired),
                                Telemetry.create(),
                                new Backoff(10, 50, new SplittableRandom(2)),
                                thread::nowMs,
                                wallClock));
        mMirror =
                new PrefixMirror(
                        store,
                        "cs/control/",
                        thread,
                        new Backoff(10, 50, new SplittableRandom(3)),
                        RECONNECT_MS,
                        thread::nowMs,
                        this::onControlKeyChanged);
        mOwners =
                new PrefixMirror(
                        mPath,
                        BatchStore.OWNER_PREFIX,
                        thread,
                        new Backoff(10, 50, new SplittableRandom(4)),
                        RECONNECT_MS,
                        thread::nowMs,
                        (key, item) -> mManager.onOwnerKeyChanged(key, item));
        mTargets.put(FakeTargets.record("lm-1", "lm", 4, MIN_VERSION));
        mTargets.put(FakeTargets.record("lm-2", "lm", 4, MIN_VERSION));
        mTargets.put(FakeTargets.record("app-1", "app", 8, 0));
        register();
    }

    private static DesiredState desired() {
        return desired(List.of(scoringRoute(Residency.ANYWHERE)));
    }

    private static DesiredState desired(List<FleetRoute> routes) {
        return DesiredState.of(
                Revision.of(1),
                routes,
                List.of(new FleetService(ENGINE, 10, List.of(ModelId.of("m")))),
                List.of(),
                new ClientLimits(1_000, 1_000, 1_000, 1_000));
    }

    private static FleetRoute scoringRoute(Residency residency) {
        return route("score", "/score/", SCORER, residency);
    }

    private static FleetRoute route(
            String name, String prefix, ServiceId service, Residency residency) {
        return new FleetRoute(
                RouteId.of(name),
                "h",
                prefix,
                RouteKind.IDEMPOTENT,
                1_000,
                200,
                0,
                List.of(new FleetRoute.Share(service, 1)),
                3,
                true,
                false,
                new FleetRoute.BatchBounds(0, 0, false),
                residency);
    }

    static Batch batch(String id, int groups, int size, long nowMs) {
        return batch(id, groups, size, nowMs, false);
    }

    static Batch singleVersionBatch(String id, long nowMs) {
        return batch(id, 1, 1, nowMs, true);
    }

    private static Batch batch(
            String id, int groups, int size, long nowMs, boolean isSingleVersion) {
        List<BatchItem> items = new ArrayList<>();
        for (int i = 0; i < groups * size; i++) {
            items.add(
                    new BatchItem(
                            ItemId.of(id + "-" + i),
                            "/p/" + i,
                            Map.of(),
                            new byte[] {1},
                            100,
                            "g" + i / size,
                            Optional.of(
                                    new BatchItem.Scorer(
                                            "s-" + id + "-" + i, "h", "/score/x", new byte[0]))));
        }
        return new Batch(
                BatchId.of(id),
                AccountId.of("acme"),
                RouteId.of("r"),
                "h",
                ENGINE,
                1,
                ModelId.of("m"),
                WeightVersion.of(MIN_VERSION),
                groups,
                3,
                isSingleVersion,
                nowMs,
                7_000,
                600_000,
                items);
    }

    private void register() {
        mStore.put(NodeDirectory.PREFIX + mSelf.vm().value(), JsonText.write(mSelf));
    }

    private void onControlKeyChanged(String key, Optional<StoredItem> item) {
        if (key.startsWith(NodeDirectory.PREFIX)) {
            mNodes.changed(key, item);
        }
    }

    void tick() {
        if (!mIsAlive) {
            return;
        }
        mPath.step();
        mMirror.tick();
        boolean isSweeper = isSweeper();
        if (isSweeper || mManager.openBatches() > 0) {
            mOwners.tick();
        }
        mManager.tick(Long.MIN_VALUE / 2, isSweeper);
        mLines.tick();
        mThread.runAll();
    }

    /** Tells whether this process takes over the batches of dead owners. */
    boolean isSweeper() {
        return mMirror.isHealthy()
                && (mNodes.choose(NodeDirectory.SWEEPER).equals(Optional.of(owner()))
                        || isRegionSweeper());
    }

    /** Returns the way of the batches and their owner keys to the store. */
    UnreliableKeyStore path() {
        return mPath;
    }

    private boolean isRegionSweeper() {
        return mDesired.hasBoundRequests()
                && mNodes.choose(NodeDirectory.SWEEPER, node -> node.zone().equals(mSelf.zone()))
                        .equals(Optional.of(owner()));
    }

    /** Binds the route of the batches, and that of the scores, to regions. */
    void bind(Set<RegionId> batches, Set<RegionId> scores) {
        FleetRoute scoring = scoringRoute(Residency.of(scores));
        FleetRoute training = route("r", "/p/", ENGINE, Residency.of(batches));
        mDesired = desired(List.of(scoring, training));
    }

    void evacuate(AvailabilityZoneId zone) {
        mTargets.evacuate(zone);
    }

    void putTarget(TargetRecord target) {
        mTargets.put(target);
    }

    /** Adds or updates a target that generates texts with the given software version. */
    void putEngine(String id, String software, int slots) {
        mTargets.put(FakeTargets.record(id, "lm", software, slots, MIN_VERSION));
    }

    /** Removes a target that has left. */
    void removeTarget(String id) {
        mTargets.remove(TargetId.of(id), mThread.nowMs(), true);
    }

    void addScorer(String id) {
        mTargets.put(FakeTargets.record(id, "app", 8, 0));
    }

    /** Stops the process abruptly and deletes its registration. */
    void kill() {
        mIsAlive = false;
        mStore.delete(NodeDirectory.PREFIX + mSelf.vm().value());
    }

    /** Responds to the target requests that have had no response yet. */
    void respondToAll(java.util.function.Consumer<FakeTargets.Sent> responder) {
        while (mRespondedCount < mPort.sent().size()) {
            FakeTargets.Sent sent = mPort.sent().get(mRespondedCount++);
            if (!sent.isCancelled()) {
                responder.accept(sent);
            }
        }
        mThread.runAll();
    }

    /**
     * Responds as a healthy target does: with three events for a text, with a digest for a score.
     */
    static void succeed(FakeTargets.Sent sent) {
        if (sent.request().id().startsWith("s-")) {
            sent.succeed();
            return;
        }
        sent.startStream(MIN_VERSION);
        sent.events(3);
        sent.end();
    }

    BatchManager manager() {
        return mManager;
    }

    FakeTargets port() {
        return mPort;
    }

    boolean isAlive() {
        return mIsAlive;
    }

    String owner() {
        return mSelf.owner();
    }
}
