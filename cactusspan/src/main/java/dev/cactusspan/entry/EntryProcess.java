package dev.cactusspan.entry;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.claim.ClaimService;
import dev.cactusspan.config.Configuration;
import dev.cactusspan.config.EnvironmentDocument;
import dev.cactusspan.http.HttpClient;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.DutyId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.lease.LeaseTimes;
import dev.cactusspan.limit.AccountLimiter;
import dev.cactusspan.limit.DemandShares;
import dev.cactusspan.link.DrainLatch;
import dev.cactusspan.link.LinkReactor;
import dev.cactusspan.link.LinkSettings;
import dev.cactusspan.link.TaskThread;
import dev.cactusspan.membership.FreshnessRule;
import dev.cactusspan.membership.SubsetChooser;
import dev.cactusspan.membership.VmRecord;
import dev.cactusspan.observe.AdminServer;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.platform.HttpKeyValueService;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.platform.TargetClient;
import dev.cactusspan.platform.UsageClient;
import dev.cactusspan.platform.VmListClient;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.routing.CostRouter;
import dev.cactusspan.routing.RoutingCosts;
import dev.cactusspan.routing.ZoneDistance;
import dev.cactusspan.settings.EntrySettings;
import dev.cactusspan.weight.WeightVersions;
import dev.cactusspan.wire.Message;
import io.undertow.Undertow;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** The entry process: wires its components and passes events to their single thread. */
public final class EntryProcess implements AutoCloseable {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final int RING_CAPACITY = 16_384;
    private static final long TICK_MS = 50;
    private static final FreshnessRule FRESHNESS = FreshnessRule.unlessPlatformIsDown();
    private static final long VM_LIST_INTERVAL_MS = 3_000;
    private static final long RETRY_BASE_MS = 20;
    private static final long RETRY_MAX_MS = 1_000;
    private static final long DIAL_BASE_MS = 100;
    private static final long DIAL_MAX_MS = 2_000;

    private final EntrySettings mSettings;
    private final HttpClient mHttp;
    private final TaskThread mThread;
    private final LinkReactor mLinks;
    private final VmListClient mVmList;
    private final ConfigurationFollower mFollower;
    private final TargetDirectory mTargets;
    private final ClaimService mClaims;
    private final RequestDispatcher mDispatcher;
    private final StepManager mSteps;
    private final DemandShares mShares = new DemandShares();
    private final PeerDirectory mPeers;
    private final UsageMeter mMeter;
    private final DutyManager mDuties;
    private final DutyFactory mDutyFactory;
    private final EntryLinkListener mLinkListener;
    private final Undertow mServer;
    private final AdminServer mAdmin;
    private final long mIncarnation = System.nanoTime();
    private final DrainLatch mDrained = new DrainLatch();
    private volatile boolean mIsFresh;
    private volatile boolean mIsDraining;
    private volatile int mTargetCount;
    private long mNextVmListMs;
    private boolean mIsVmListPending;
    private Revision mAppliedRevision = Revision.NONE;
    private WeightVersions mAppliedWeights = WeightVersions.EMPTY;

    /**
     * Creates an entry; {@link #start} starts it.
     *
     * @param settings its settings
     * @param telemetry its metrics
     * @throws IOException if its threads cannot be started
     */
    public EntryProcess(EntrySettings settings, Telemetry telemetry) throws IOException {
        mSettings = settings;
        mHttp = HttpClient.create();
        mVmList = new VmListClient(mHttp, settings.platformUrl());
        mThread = new TaskThread("entry", RING_CAPACITY, TICK_MS);
        SplittableRandom random = new SplittableRandom(mIncarnation);
        KeyValueService keyValues = new HttpKeyValueService(mHttp, settings.platformUrl());
        mFollower =
                new ConfigurationFollower(
                        settings, keyValues, mThread, EntryProcess::nowMs, random.split());
        mLinks =
                new LinkReactor(
                        LinkSettings.STANDARD,
                        mFollower::revision,
                        () -> new Message.Heartbeat(0, false));
        Backoff dialBackoff = new Backoff(DIAL_BASE_MS, DIAL_MAX_MS, random.split());
        SubsetChooser subset = new SubsetChooser(settings.linksPerTarget());
        mTargets = new TargetDirectory(settings, mLinks, subset, dialBackoff);
        mPeers =
                new PeerDirectory(
                        settings,
                        mLinks,
                        new Backoff(DIAL_BASE_MS, DIAL_MAX_MS, random.split()),
                        mFollower,
                        mShares,
                        EntryProcess::nowMs);
        mMeter =
                new UsageMeter(
                        settings.environment(), owner(), keyValues, mThread, EntryProcess::nowMs);
        mDuties = newDutyManager(keyValues);
        mDutyFactory = newDutyFactory(keyValues);
        mClaims = newClaimService(keyValues, telemetry);
        mDispatcher = newDispatcher(telemetry, random);
        mSteps = newStepManager(keyValues, telemetry);
        mLinkListener =
                new EntryLinkListener(
                        settings,
                        mIncarnation,
                        mThread,
                        mTargets,
                        mPeers,
                        mDispatcher,
                        mFollower,
                        EntryProcess::nowMs);
        mServer = newServer(keyValues);
        mAdmin =
                new AdminServer(
                        settings.ip(),
                        settings.adminPort(),
                        telemetry,
                        this::isReady,
                        this::status);
        telemetry.gauge("entry_pending_requests", mDispatcher::pendingCount);
        telemetry.gauge("entry_revision", () -> mFollower.revision().number());
        telemetry.gauge("entry_targets", () -> mTargetCount);
        telemetry.gauge("entry_ring_tasks", mThread::size);
        telemetry.gauge("link_sent_bytes", mLinks::sentBytes);
        telemetry.gauge("link_received_bytes", mLinks::receivedBytes);
    }

    /** Returns the owner id that identifies this run of the process in stored data. */
    private String owner() {
        return mSettings.vm() + "-" + Long.toHexString(mIncarnation);
    }

    private DutyManager newDutyManager(KeyValueService keyValues) {
        return new DutyManager(
                mSettings.environment(),
                mSettings.vm(),
                owner(),
                keyValues,
                mThread,
                LeaseTimes.STANDARD,
                EntryProcess::nowMs);
    }

    private DutyFactory newDutyFactory(KeyValueService keyValues) {
        return new DutyFactory(
                mSettings.environment(),
                keyValues,
                new UsageClient(mHttp, mSettings.platformUrl()),
                new TargetClient(mHttp, mSettings.platformUrl()),
                mThread,
                mTargets,
                System::currentTimeMillis,
                this::currentConfiguration);
    }

    private ClaimService newClaimService(KeyValueService keyValues, Telemetry telemetry) {
        return new ClaimService(
                mSettings.environment(),
                keyValues,
                mThread,
                System::currentTimeMillis,
                telemetry,
                owner());
    }

    private RequestDispatcher newDispatcher(Telemetry telemetry, SplittableRandom random) {
        return new RequestDispatcher(
                mTargets,
                mClaims,
                new AccountLimiter(),
                mShares,
                new CostRouter(RoutingCosts.STANDARD, this::distance, random.split()),
                new Backoff(RETRY_BASE_MS, RETRY_MAX_MS, random.split()),
                mMeter,
                telemetry,
                this::currentConfiguration,
                EntryProcess::nowMs);
    }

    private StepManager newStepManager(KeyValueService keyValues, Telemetry telemetry) {
        return new StepManager(
                mSettings.environment(),
                owner(),
                keyValues,
                mThread,
                mDispatcher,
                mTargets,
                this::currentConfiguration,
                mFollower,
                telemetry,
                EntryProcess::nowMs);
    }

    private Undertow newServer(KeyValueService keyValues) {
        RequestAdmission admission = new RequestAdmission(mFollower::configuration, () -> mIsFresh);
        WeightStore weights = new WeightStore(keyValues, mSettings.environment());
        TrainerApi trainers =
                new TrainerApi(admission, mThread, mSteps, weights, mFollower, EntryProcess::nowMs);
        return ApiServer.create(
                mSettings, new CallerApi(admission, mThread, mDispatcher), trainers);
    }

    // Operations

    /**
     * Starts the entry.
     *
     * @return the port for links from other entries
     * @throws IOException if an address cannot be bound
     */
    public int start() throws IOException {
        mThread.start(this::tick);
        mTargets.setWatchFilter(vm -> mDuties.isCandidate(DutyId.targets(vm.service(), vm.zone())));
        mLinks.start(mLinkListener);
        int linkPort = mLinks.listen(new InetSocketAddress(mSettings.ip(), mSettings.linkPort()));
        mAdmin.start();
        mServer.start();
        sLog.atInfo().log("entry %s is listening for callers on port %d", mSettings.vm(), port());
        return linkPort;
    }

    /** Drains the process: refuses new requests and waits for those in progress. */
    public void drain() {
        mIsDraining = true;
        mThread.execute(
                () -> {
                    mDispatcher.drain();
                    mDuties.releaseAll();
                });
        mDrained.await(mSettings.drainMs());
    }

    private void tick() {
        long nowMs = nowMs();
        mFollower.tick();
        mClaims.tick();
        listVms(nowMs);
        mTargets.dial(nowMs);
        mTargetCount = mTargets.targets().size();
        Optional<Configuration> configuration = mFollower.configuration();
        if (configuration.isEmpty()) {
            mPeers.bootstrap(mTargets.entries());
            mPeers.tick();
            return;
        }
        applyConfiguration(configuration.get());
        long boundMs = configuration.get().document().bounds().configAgeMs();
        mIsFresh = FRESHNESS.isFresh(mPeers.knowledge(boundMs), boundMs);
        mPeers.tick();
        mMeter.tick();
        mDuties.tick();
        mDispatcher.tick();
        mSteps.tick();
        if (mIsDraining && mDispatcher.isIdle() && mMeter.isFlushed()) {
            mDrained.drained();
        }
    }

    private void listVms(long nowMs) {
        if (mIsVmListPending || nowMs < mNextVmListMs) {
            return;
        }
        mIsVmListPending = true;
        mNextVmListMs = nowMs + VM_LIST_INTERVAL_MS;
        FutureResults.deliver(mVmList.list(mSettings.environment()), mThread, this::onVmList);
    }

    private void onVmList(Result<Optional<List<VmRecord>>> result) {
        mIsVmListPending = false;
        result.fold(
                failure -> {
                    sLog.atWarning().log("failed to read the VM list: %s", failure);
                    return null;
                },
                vms -> {
                    vms.ifPresent(this::applyVmList);
                    return null;
                });
    }

    private void applyVmList(List<VmRecord> vms) {
        mTargets.updateVms(vms, nowMs());
        List<VmRecord> entries = mTargets.entries();
        mDuties.updateEntries(entries);
        mFollower.configuration().ifPresent(c -> mPeers.updateEntries(entries, c));
    }

    /** Applies configuration and desired weights that changed since the last tick. */
    private void applyConfiguration(Configuration configuration) {
        if (configuration.revision().isAfter(mAppliedRevision)) {
            mAppliedRevision = configuration.revision();
            mDispatcher.onConfiguration(configuration);
            mDutyFactory.addAll(mDuties);
            mTargets.refresh(nowMs());
            mPeers.sendUpdates();
            mPeers.updateEntries(mTargets.entries(), configuration);
        }
        WeightVersions weights = mFollower.desiredWeights();
        if (!weights.equals(mAppliedWeights)) {
            mAppliedWeights = weights;
            mLinkListener.sendDesiredWeightsToAll(weights);
            mPeers.sendUpdates();
        }
    }

    private ZoneDistance distance(AvailabilityZoneId zone) {
        if (zone.equals(mSettings.zone())) {
            return ZoneDistance.SAME_ZONE;
        }
        Optional<RegionId> ownRegion = region(mSettings.zone());
        return ownRegion.isPresent() && ownRegion.equals(region(zone))
                ? ZoneDistance.SAME_REGION
                : ZoneDistance.OTHER_REGION;
    }

    private Optional<RegionId> region(AvailabilityZoneId zone) {
        return currentConfiguration().document().availabilityZones().stream()
                .filter(z -> z.name().equals(zone))
                .map(EnvironmentDocument.Zone::region)
                .findFirst();
    }

    private Configuration currentConfiguration() {
        return mFollower.configuration().orElseThrow();
    }

    // Accessors

    /**
     * Returns the port that callers connect to.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) mServer.getListenerInfo().get(0).getAddress()).getPort();
    }

    private boolean isReady() {
        return mIsFresh && !mIsDraining && mTargetCount > 0;
    }

    private Object status() {
        return new Status(
                mSettings.vm().value(),
                mFollower.revision().number(),
                mIsFresh,
                mIsDraining,
                mTargetCount,
                mDispatcher.pendingCount(),
                mFollower.desiredWeights(),
                mDuties.heldDuties());
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void close() {
        mServer.stop();
        mAdmin.close();
        mLinks.close();
        mThread.close();
        mHttp.close();
    }

    private record Status(
            String vm,
            long revision,
            boolean fresh,
            boolean draining,
            int targets,
            int pendingRequests,
            WeightVersions weights,
            List<DutyId> duties) {}
}
