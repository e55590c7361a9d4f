package dev.cactusspan.gateway;

import dev.cactusspan.batch.BatchManager;
import dev.cactusspan.batch.BatchManagerFactory;
import dev.cactusspan.batch.BatchStore;
import dev.cactusspan.batch.KnownOwnership;
import dev.cactusspan.batch.StoredFormats;
import dev.cactusspan.capacity.FixedLimit;
import dev.cactusspan.capacity.GradientLimit;
import dev.cactusspan.duty.DutyHolder;
import dev.cactusspan.duty.UsageReporter;
import dev.cactusspan.duty.WeightRollout;
import dev.cactusspan.fleet.EvacuationSpread;
import dev.cactusspan.fleet.GuardedTargets;
import dev.cactusspan.fleet.ObservingTargets;
import dev.cactusspan.fleet.TargetChooser;
import dev.cactusspan.fleet.TargetPort;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.forward.CrashGuard;
import dev.cactusspan.forward.RequestForwarder;
import dev.cactusspan.forward.StreamResumer;
import dev.cactusspan.forward.WaitingRequests;
import dev.cactusspan.http.HttpClient;
import dev.cactusspan.http.ReadProbe;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.link.TaskThread;
import dev.cactusspan.observe.AdminServer;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.overload.OverloadCheck;
import dev.cactusspan.overload.OverloadGate;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.peer.NodeRecord;
import dev.cactusspan.peer.NodeSession;
import dev.cactusspan.peer.PeerClient;
import dev.cactusspan.peer.RelayedStore;
import dev.cactusspan.platform.PlatformBatches;
import dev.cactusspan.platform.PlatformServer;
import dev.cactusspan.platform.PlatformStore;
import dev.cactusspan.platform.PlatformTargets;
import dev.cactusspan.platform.PlatformUsage;
import dev.cactusspan.region.RegionMap;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.settings.GatewaySettings;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.time.WallClock;
import dev.cactusspan.waiting.Ranks;
import dev.cactusspan.waiting.ServiceLines;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;

/** An entry process on a hosting platform that serves clients and trainers, and holds duties. */
public final class GatewayProcess implements AutoCloseable {
    private static final int QUEUE_TASKS = 8_192;
    private static final long TICK_MS = 10;

    /**
     * Interval of the tick without requests and batches in progress, in milliseconds. Each wake-up
     * costs processor time, and nothing but control is due then.
     */
    private static final long IDLE_TICK_MS = 40;

    /**
     * Interval of duties, lease, usage and reports of crashes, in milliseconds; a fraction of the
     * shortest of their delays, the 60 ms of a back-off.
     */
    private static final long CONTROL_TICK_MS = 40;

    private static final long MS_PER_S = 1_000;

    /** Bounds of the delay after a failed call to the store, in milliseconds. */
    private static final long BACKOFF_BASE_MS = 60;

    private static final long BACKOFF_MAX_MS = 600;

    private final GatewaySettings mSettings;
    private final Telemetry mTelemetry;
    private final WallClock mWallClock;
    private final HttpClient mHttp;
    private final TaskThread mThread = new TaskThread("gateway", QUEUE_TASKS, TICK_MS);
    private final Executor mControl = mThread.control();
    private final SplittableRandom mRandom = new SplittableRandom();
    private final NodeDirectory mNodes = new NodeDirectory();
    private final RegionMap mRegions;
    private final KeyStore mDirect;
    private final NodeSession mSession;
    private final PeerClient mPeers;
    private final FleetView mFleet;
    private final KnowledgeGuard mKnowledge;
    private final ReadProbe mProbe;
    private final DutyHolder mUsageDuty;
    private final DutyHolder mWeightDuty;
    private final UsageReporter mUsage;
    private final WeightRollout mWeights;
    private final PermitExchange mPermits;
    private final ServiceLines mLines;
    private final Ranks mRanks;
    private final CrashGuard mCrashGuard;
    private final CrashExchange mCrashes;
    private final StreamOriginExchange mOrigins;
    private final RequestForwarder mForwarder;
    private final BatchManager mBatches;
    private final BatchReader mReader;
    private final Gateway mGateway;
    private final IntakeState mIntake;
    private final OverloadGate mGate = new OverloadGate();
    private final PlatformServer mServer;
    private ReadProbe mClientProbe;
    private final AdminServer mAdmin;
    private final GracefulStop mStop;
    private long mNextControlMs = Long.MIN_VALUE;
    private volatile boolean mIsReady;

    /**
     * Creates an entry; {@link #start} starts it.
     *
     * @param settings its settings
     * @param telemetry its metrics
     * @param wallClock the time of day
     * @throws IOException if its threads cannot be started
     */
    public GatewayProcess(GatewaySettings settings, Telemetry telemetry, WallClock wallClock)
            throws IOException {
        mSettings = settings;
        mRegions = RegionMap.of(settings.zones());
        mTelemetry = telemetry;
        mWallClock = wallClock;
        mHttp = HttpClient.create();
        mIntake = IntakeState.create(settings, telemetry);
        NodeRecord self = newRecord();
        mDirect =
                new PlatformStore(
                        mHttp, URI.create("http://" + settings.storeAddress()), telemetry);
        mPeers = new PeerClient(self, mNodes::isKnownAddress, mControl, GatewayProcess::nowMs);
        KeyStore store = newStore(self);
        mSession = new NodeSession(store, self, mControl, backoff(), GatewayProcess::nowMs);
        mUsageDuty = duty(store, "usage");
        mWeightDuty = duty(store, "weights");
        mUsage = newUsage(store, self);
        mFleet = newFleet(store);
        TargetPort port =
                new ObservingTargets(
                        new PlatformTargets(mHttp, mThread),
                        mFleet.targets(),
                        GatewayProcess::nowMs);
        mKnowledge = new KnowledgeGuard(mFleet, settings, telemetry, GatewayProcess::nowMs);
        mProbe = mHttp.newProbe(mControl, GatewayProcess::nowMs, mKnowledge::recordReadThrough);
        mPermits =
                new PermitExchange(
                        mFleet.targets(),
                        mNodes,
                        self.owner(),
                        mPeers,
                        mControl,
                        telemetry,
                        GatewayProcess::nowMs);
        mWeights = newWeights(port);
        mRanks = new Ranks(mFleet::desiredState);
        mLines = newLines();
        mCrashGuard = new CrashGuard(self.owner());
        mCrashes = new CrashExchange(mCrashGuard, store, mControl, GatewayProcess::nowMs);
        mOrigins = newOrigins(store);
        TargetChooser chooser = newChooser();
        mForwarder = newForwarder(port, chooser);
        BatchStore batches = new BatchStore(store);
        mBatches = newBatches(batches, self, port, chooser);
        mReader = new BatchReader(mBatches, batches, mNodes, mPeers, mControl);
        mStop = newStop();
        mGateway = newGateway();
        mServer = newServer();
        mAdmin =
                new AdminServer(
                        settings.ip(), settings.metricsPort(), telemetry, () -> mIsReady, List::of);
        mFleet.setListeners(
                this::onOwnerKeyChanged,
                mUsageDuty::onKeyChanged,
                mWeightDuty::onKeyChanged,
                mWeights::setDesiredVersion,
                mWeights::onTargetRecord,
                this::onSharedKeyChanged);
    }

    private void onOwnerKeyChanged(String key, Optional<StoredItem> item) {
        mBatches.onOwnerKeyChanged(key, item);
        mBatches.findOwnership(BatchStore.batchIdOf(key))
                .map(KnownOwnership::ownership)
                .ifPresent(o -> mWeights.recordBatch(o.id(), o.model(), o.expectedTokens()));
    }

    private void onSharedKeyChanged(String key, Optional<StoredItem> item) {
        mCrashes.onKeyChanged(key, item);
        mOrigins.onKeyChanged(key, item);
    }

    private NodeRecord newRecord() {
        return new NodeRecord(
                mSettings.vm(),
                Long.toString(mWallClock.wallMs(), Character.MAX_RADIX),
                mSettings.zone(),
                mSettings.ip(),
                mSettings.linkPort(),
                false);
    }

    private KeyStore newStore(NodeRecord self) {
        return new RelayedStore(
                mDirect,
                mNodes,
                mPeers,
                mRegions,
                self.owner(),
                mControl,
                mRandom.split(),
                GatewayProcess::nowMs);
    }

    private UsageReporter newUsage(KeyStore store, NodeRecord self) {
        return new UsageReporter(
                store,
                mUsageDuty,
                mNodes,
                self,
                new PlatformUsage(mHttp, URI.create("http://" + mSettings.usageAddress())),
                mSettings.usageWindowS() * MS_PER_S,
                mControl,
                GatewayProcess::nowMs,
                mWallClock);
    }

    private FleetView newFleet(KeyStore store) {
        return new FleetView(
                store,
                mNodes,
                new TargetTable(
                        mRegions,
                        mSettings.learnsCapacity() ? GradientLimit::new : FixedLimit::new),
                mControl,
                this::backoff,
                new FollowTimes(
                        mSettings.reconnectMs(), mSettings.drainMs(), mSettings.evacuateMs()),
                mSettings.coldOverage(),
                GatewayProcess::nowMs);
    }

    private TargetChooser newChooser() {
        AvailabilityZoneId zone = mSettings.zone();
        return new TargetChooser(
                new EvacuationSpread(mRegions.distancesFrom(zone), mFleet.targets(), zone),
                mRandom.split());
    }

    private ServiceLines newLines() {
        TargetTable targets = mFleet.targets();
        ServiceLines lines = new ServiceLines(mThread, targets::nextPlaceMs, GatewayProcess::nowMs);
        targets.setPlaceListener(lines::wake);
        mTelemetry.gauge("waiting_work", lines::size);
        mTelemetry.gauge("reduced_targets", targets::reducedCount);
        return lines;
    }

    private StreamOriginExchange newOrigins(KeyStore store) {
        return new StreamOriginExchange(
                mFleet.targets(),
                mFleet::desiredState,
                store,
                mFleet::isStoreAvailable,
                mControl,
                GatewayProcess::nowMs);
    }

    private WeightRollout newWeights(TargetPort port) {
        return new WeightRollout(
                mWeightDuty,
                mFleet.targets(),
                port,
                mSettings.vm(),
                mControl,
                GatewayProcess::nowMs);
    }

    private RequestForwarder newForwarder(TargetPort port, TargetChooser chooser) {
        return new RequestForwarder(
                mFleet.targets(),
                guarded(port, mKnowledge::isDesiredStateCurrent, "desired_state"),
                chooser,
                new WaitingRequests(mLines, mRanks),
                mFleet::desiredState,
                mUsage::count,
                mCrashGuard,
                mOrigins,
                mIntake.responses(),
                mTelemetry,
                mRandom.split(),
                GatewayProcess::nowMs);
    }

    private TargetPort guarded(TargetPort port, BooleanSupplier isCurrent, String knowledge) {
        return new GuardedTargets(port, isCurrent, knowledge, mTelemetry, mThread);
    }

    private BatchManager newBatches(
            BatchStore batches, NodeRecord self, TargetPort port, TargetChooser chooser) {
        return BatchManagerFactory.create(
                new BatchManagerFactory.Dependencies(
                        batches,
                        mNodes,
                        self.owner(),
                        mControl,
                        mFleet.targets(),
                        guarded(port, mKnowledge::areBatchEndsCurrent, "batch_ends"),
                        chooser,
                        mLines,
                        mRanks,
                        mKnowledge::desiredState,
                        mTelemetry,
                        backoff(),
                        GatewayProcess::nowMs,
                        mWallClock));
    }

    private GracefulStop newStop() {
        return new GracefulStop(
                mThread,
                mSession,
                mBatches,
                mForwarder,
                mSettings.stopS() * MS_PER_S,
                GatewayProcess::nowMs);
    }

    private Gateway newGateway() {
        return new Gateway(
                mKnowledge::desiredState,
                mForwarder,
                new StreamResumer(mForwarder, mOrigins, mTelemetry),
                mBatches,
                mReader,
                new PlatformBatches(),
                mStop::isStopping,
                mFleet::isStoreAvailable,
                mTelemetry,
                GatewayProcess::nowMs,
                mWallClock);
    }

    private PlatformServer newServer() {
        return new PlatformServer(
                mSettings.clientSocket(),
                mSettings.readySocket(),
                mGateway,
                mThread,
                () -> mIsReady && !mStop.isLeaving(),
                new OverloadCheck(mGate),
                mGate::delayMs,
                GatewayProcess::nowMs,
                mIntake::limits,
                mIntake.budget(),
                mIntake.report());
    }

    private DutyHolder duty(KeyStore store, String name) {
        return new DutyHolder(
                store,
                mSession,
                mNodes,
                name,
                mSettings.turnMs(),
                mSettings.isFencingChecked() ? 0 : mSettings.turnMs(),
                mControl,
                GatewayProcess::nowMs);
    }

    private Backoff backoff() {
        return new Backoff(BACKOFF_BASE_MS, BACKOFF_MAX_MS, mRandom.split());
    }

    // Operations

    /**
     * Starts the entry.
     *
     * @throws IOException if an address cannot be bound
     */
    public void start() throws IOException {
        StoredFormats.prepare();
        mPeers.start(new PeerRequests(mDirect, mPermits, mReader));
        mAdmin.start();
        mServer.start();
        mClientProbe = mServer.newProbe(mThread, atMs -> mGate.record(nowMs() - atMs));
        mThread.start(this::tick);
        Decision.of("started")
                .with("node", mSession.self().owner())
                .with("zone", mSettings.zone().value())
                .info();
    }

    private void tick() {
        mProbe.tick();
        mClientProbe.tick();
        mGate.recordPending(mClientProbe.pendingMs());
        mGate.recordQueue(mThread.queueMs());
        int openBatches = mBatches.openBatches();
        String self = mSession.self().owner();
        boolean isSweeper = mFleet.isSweeper(self);
        boolean takesOver = isSweeper || mFleet.isRegionSweeper(self, mSettings.zone());
        mFleet.tick(
                mWeightDuty.fencing().isPresent(),
                takesOver,
                openBatches,
                openBatches == 0 ? 0 : mBatches.waitingItems());
        mPeers.tick();
        mKnowledge.tick(mBatches, openBatches);
        mBatches.tick(mFleet.recoveredMs(), takesOver);
        mGateway.tick();
        mLines.tick();
        mPermits.tick();
        mOrigins.tick(isSweeper);
        if (nowMs() >= mNextControlMs) {
            mNextControlMs = nowMs() + CONTROL_TICK_MS;
            tickControl();
        }
        mIsReady = mFleet.isLoaded();
        mFleet.desiredState().ifPresent(d -> mIntake.setLimits(d.limits()));
        mThread.setTickMs(openBatches == 0 && mGateway.isIdle() ? IDLE_TICK_MS : TICK_MS);
        mStop.tick();
    }

    private void tickControl() {
        mSession.tick();
        mUsageDuty.tick();
        mWeightDuty.tick();
        mUsage.tick();
        mWeights.tick();
        mCrashes.tick();
        mIntake.countBatches(nowMs(), mBatches::heldBytes);
    }

    /** Stops gracefully; returns when this process may be closed. */
    public void drain() {
        mStop.run();
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void close() {
        Decision.of("stopped").with("node", mSession.self().owner()).info();
        mServer.close();
        mAdmin.close();
        mPeers.close();
        mThread.close();
        mProbe.close();
        mClientProbe.close();
        mHttp.close();
    }
}
