package dev.cactusspan.entry;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.claim.ClaimService;
import dev.cactusspan.config.Configuration;
import dev.cactusspan.config.EnvironmentDocument;
import dev.cactusspan.http.HttpCaller;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.DutyId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.lease.LeaseTimes;
import dev.cactusspan.limit.AccountLimiter;
import dev.cactusspan.limit.DemandShares;
import dev.cactusspan.link.DrainLatch;
import dev.cactusspan.link.DutyThread;
import dev.cactusspan.link.LinkReactor;
import dev.cactusspan.link.LinkSettings;
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

/** The entry process: wires its parts and carries events to their thread. */
public final class EntryProcess implements AutoCloseable {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final int RING_TASKS = 16_384;
    private static final long TICK_MS = 50;
    private static final FreshnessRule FRESHNESS = FreshnessRule.unlessPlatformIsDown();
    private static final long VM_LIST_MS = 3_000;
    private static final long BACKOFF_BASE_MS = 20;
    private static final long BACKOFF_MAX_MS = 1_000;
    private static final long DIAL_BASE_MS = 100;
    private static final long DIAL_MAX_MS = 2_000;

    private final EntrySettings mSettings;
    private final HttpCaller mHttp;
    private final DutyThread mThread;
    private final LinkReactor mLinks;
    private final VmListClient mVmList;
    private final Follower mFollower;
    private final TargetDirectory mTargets;
    private final ClaimService mClaims;
    private final RequestDesk mDesk;
    private final StepDesk mSteps;
    private final DemandShares mShares = new DemandShares();
    private final PeerDirectory mPeers;
    private final UsageMeter mMeter;
    private final DutyDesk mDuties;
    private final DutyFactory mDutyFactory;
    private final EntryLinks mFrames;
    private final Undertow mServer;
    private final AdminServer mAdmin;
    private final long mIncarnation = System.nanoTime();
    private final DrainLatch mDrained = new DrainLatch();
    private volatile boolean mIsFresh;
    private volatile boolean mIsDraining;
    private volatile int mTargetCount;
    private long mNextVmListMs;
    private boolean mIsListing;
    private Revision mApplied = Revision.NONE;
    private WeightVersions mAppliedBook = WeightVersions.EMPTY;

    /**
     * Creates an entry; {@link #start} starts it.
     *
     * @param settings its settings
     * @param telemetry its metrics
     * @throws IOException if its threads cannot be started
     */
    public EntryProcess(EntrySettings settings, Telemetry telemetry) throws IOException {
        mSettings = settings;
        mHttp = HttpCaller.create();
        mVmList = new VmListClient(mHttp, settings.platformUrl());
        mThread = new DutyThread("entry", RING_TASKS, TICK_MS);
        SplittableRandom random = new SplittableRandom(mIncarnation);
        KeyValueService keyValues = new HttpKeyValueService(mHttp, settings.platformUrl());
        mFollower = new Follower(settings, keyValues, mThread, EntryProcess::nowMs, random.split());
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
        mDuties = newDuties(keyValues);
        mDutyFactory = newDutyFactory(keyValues);
        mClaims = newClaims(keyValues, telemetry);
        mDesk = newDesk(telemetry, random);
        mSteps = newSteps(keyValues, telemetry);
        mFrames =
                new EntryLinks(
                        settings,
                        mIncarnation,
                        mThread,
                        mTargets,
                        mPeers,
                        mDesk,
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
        telemetry.gauge("entry_pending_requests", mDesk::size);
        telemetry.gauge("entry_revision", () -> mFollower.revision().number());
        telemetry.gauge("entry_targets", () -> mTargetCount);
        telemetry.gauge("entry_ring_tasks", mThread::size);
        telemetry.gauge("link_sent_bytes", mLinks::sentBytes);
        telemetry.gauge("link_received_bytes", mLinks::receivedBytes);
    }

    /** Names this start of this process in what it stores. */
    private String owner() {
        return mSettings.vm() + "-" + Long.toHexString(mIncarnation);
    }

    private DutyDesk newDuties(KeyValueService keyValues) {
        return new DutyDesk(
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
                this::current);
    }

    private ClaimService newClaims(KeyValueService keyValues, Telemetry telemetry) {
        return new ClaimService(
                mSettings.environment(),
                keyValues,
                mThread,
                System::currentTimeMillis,
                telemetry,
                owner());
    }

    private RequestDesk newDesk(Telemetry telemetry, SplittableRandom random) {
        return new RequestDesk(
                mTargets,
                mClaims,
                new AccountLimiter(),
                mShares,
                new CostRouter(RoutingCosts.STANDARD, this::distance, random.split()),
                new Backoff(BACKOFF_BASE_MS, BACKOFF_MAX_MS, random.split()),
                mMeter,
                telemetry,
                this::current,
                EntryProcess::nowMs);
    }

    private StepDesk newSteps(KeyValueService keyValues, Telemetry telemetry) {
        return new StepDesk(
                mSettings.environment(),
                owner(),
                keyValues,
                mThread,
                mDesk,
                mTargets,
                this::current,
                mFollower,
                telemetry,
                EntryProcess::nowMs);
    }

    private Undertow newServer(KeyValueService keyValues) {
        Gate gate = new Gate(mFollower::configuration, () -> mIsFresh);
        WeightStore weights = new WeightStore(keyValues, mSettings.environment());
        TrainerApi trainers =
                new TrainerApi(gate, mThread, mSteps, weights, mFollower, EntryProcess::nowMs);
        return ApiServer.create(mSettings, new CallerApi(gate, mThread, mDesk), trainers);
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
        mTargets.watched(vm -> mDuties.isCandidate(DutyId.targets(vm.service(), vm.zone())));
        mLinks.start(mFrames);
        int linkPort = mLinks.listen(new InetSocketAddress(mSettings.ip(), mSettings.linkPort()));
        mAdmin.start();
        mServer.start();
        sLog.atInfo().log("entry %s listens for callers on port %d", mSettings.vm(), port());
        return linkPort;
    }

    /** Stops gracefully: refuses new requests, and waits for those in progress. */
    public void drain() {
        mIsDraining = true;
        mThread.execute(
                () -> {
                    mDesk.drain();
                    mDuties.release();
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
        apply(configuration.get());
        long boundMs = configuration.get().document().bounds().configAgeMs();
        mIsFresh = FRESHNESS.isFresh(mPeers.knowledge(boundMs), boundMs);
        mPeers.tick();
        mMeter.tick();
        mDuties.tick();
        mDesk.tick();
        mSteps.tick();
        if (mIsDraining && mDesk.isIdle() && mMeter.isFlushed()) {
            mDrained.drained();
        }
    }

    private void listVms(long nowMs) {
        if (mIsListing || nowMs < mNextVmListMs) {
            return;
        }
        mIsListing = true;
        mNextVmListMs = nowMs + VM_LIST_MS;
        FutureResults.deliver(mVmList.list(mSettings.environment()), mThread, this::listed);
    }

    private void listed(Result<Optional<List<VmRecord>>> result) {
        mIsListing = false;
        result.fold(
                failure -> {
                    sLog.atWarning().log("VM list: %s", failure);
                    return null;
                },
                vms -> {
                    vms.ifPresent(this::changed);
                    return null;
                });
    }

    private void changed(List<VmRecord> vms) {
        mTargets.vms(vms, nowMs());
        List<VmRecord> entries = mTargets.entries();
        mDuties.entries(entries);
        mFollower.configuration().ifPresent(c -> mPeers.entries(entries, c));
    }

    /** Applies what the follower learned since the last tick. */
    private void apply(Configuration configuration) {
        if (configuration.revision().isAfter(mApplied)) {
            mApplied = configuration.revision();
            mDesk.configured(configuration);
            mDutyFactory.addAll(mDuties);
            mTargets.refresh(nowMs());
            mPeers.learned();
            mPeers.entries(mTargets.entries(), configuration);
        }
        WeightVersions book = mFollower.book();
        if (!book.equals(mAppliedBook)) {
            mAppliedBook = book;
            mFrames.wanted(book);
            mPeers.learned();
        }
    }

    private ZoneDistance distance(AvailabilityZoneId zone) {
        if (zone.equals(mSettings.zone())) {
            return ZoneDistance.SAME_ZONE;
        }
        Optional<RegionId> own = region(mSettings.zone());
        return own.isPresent() && own.equals(region(zone))
                ? ZoneDistance.SAME_REGION
                : ZoneDistance.OTHER_REGION;
    }

    private Optional<RegionId> region(AvailabilityZoneId zone) {
        return current().document().availabilityZones().stream()
                .filter(z -> z.name().equals(zone))
                .map(EnvironmentDocument.Zone::region)
                .findFirst();
    }

    private Configuration current() {
        return mFollower.configuration().orElseThrow();
    }

    // Accessors

    /**
     * Returns the bound port towards callers.
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
                mDesk.size(),
                mFollower.book(),
                mDuties.held());
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
