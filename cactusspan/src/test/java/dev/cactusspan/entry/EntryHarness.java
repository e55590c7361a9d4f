package dev.cactusspan.entry;

import dev.cactusspan.claim.ClaimService;
import dev.cactusspan.config.Configuration;
import dev.cactusspan.config.DocumentStore;
import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.config.EnvironmentDocument.Route;
import dev.cactusspan.config.KeyHash;
import dev.cactusspan.config.Stage;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.VmId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.limit.AccountLimiter;
import dev.cactusspan.limit.DemandShares;
import dev.cactusspan.membership.SubsetChooser;
import dev.cactusspan.membership.VmRecord;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.platform.FakeKeyValues;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.routing.CostRouter;
import dev.cactusspan.routing.RoutingCosts;
import dev.cactusspan.routing.ZoneDistance;
import dev.cactusspan.settings.EntrySettings;
import dev.cactusspan.text.JsonText;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;

/** Runs an entry on one thread, with a manual clock, a fake store and fake side processes. */
final class EntryHarness implements Executor {
    /** Ports from this one on belong to targets of the plain service. */
    static final int SERVICE_PORT = 100;

    static final EnvironmentId ENVIRONMENT = EnvironmentId.of("kilimanjaro");
    static final String KEY = "csk-test";

    private static final int MODEL_TARGETS = 2;
    private static final int SERVICE_TARGETS = 2;

    private final Deque<Runnable> mTasks = new ArrayDeque<>();
    private final FakeSideProcesses mSides;
    private final ConfigurationFollower mFollower;
    private final TargetDirectory mTargets;
    private final ClaimService mClaims;
    private final RequestDispatcher mDispatcher;
    private final StepManager mSteps;
    private final Clock mClock;
    private final EntryLinkListener mLinks;
    private long mAppliedRevision;

    EntryHarness(
            String name, FakeKeyValues keyValues, FakeSideProcesses sides, Clock clock, long seed) {
        mClock = clock;
        mSides = sides;
        SplittableRandom random = new SplittableRandom(seed);
        EntrySettings settings = settings(name);
        Telemetry telemetry = Telemetry.create();
        mFollower =
                new ConfigurationFollower(settings, keyValues, this, clock::nowMs, random.split());
        mTargets =
                new TargetDirectory(
                        settings, sides, new SubsetChooser(8), new Backoff(10, 50, random.split()));
        mClaims = new ClaimService(ENVIRONMENT, keyValues, this, clock::nowMs, telemetry, name);
        DemandShares shares = new DemandShares();
        mDispatcher =
                new RequestDispatcher(
                        mTargets,
                        mClaims,
                        new AccountLimiter(),
                        shares,
                        new CostRouter(
                                RoutingCosts.STANDARD,
                                zone -> ZoneDistance.SAME_ZONE,
                                random.split()),
                        new Backoff(10, 50, random.split()),
                        new UsageMeter(ENVIRONMENT, name, keyValues, this, clock::nowMs),
                        telemetry,
                        this::configuration,
                        clock::nowMs);
        mSteps =
                new StepManager(
                        ENVIRONMENT,
                        name,
                        keyValues,
                        this,
                        mDispatcher,
                        mTargets,
                        this::configuration,
                        mFollower,
                        telemetry,
                        clock::nowMs);
        PeerDirectory peers =
                new PeerDirectory(
                        settings,
                        sides,
                        new Backoff(10, 50, random.split()),
                        mFollower,
                        shares,
                        clock::nowMs);
        mLinks =
                new EntryLinkListener(
                        settings, 1, this, mTargets, peers, mDispatcher, mFollower, clock::nowMs);
        sides.setListener(mLinks);
    }

    private static EntrySettings settings(String name) {
        return new EntrySettings(
                ENVIRONMENT,
                Stage.PRODUCTION,
                VmId.of(name),
                AvailabilityZoneId.of("dar-a"),
                "127.0.0.1",
                0,
                0,
                0,
                URI.create("http://127.0.0.1:1"),
                8,
                0);
    }

    /** Stores the sample document, with the given keys in place of its empty key lists. */
    static void putDocument(FakeKeyValues keyValues, String... keys) {
        try {
            Path sample =
                    Path.of(
                            System.getProperty("project.root", ".."),
                            "samples",
                            "kilimanjaro.json");
            String text = Files.readString(sample);
            for (int i = 0; i < keys.length; i++) {
                text =
                        text.replaceFirst(
                                "\"key_hashes\": \\[\\]",
                                "\"key_hashes\": [\"" + KeyHash.ofKey(keys[i]).text() + "\"]");
            }
            keyValues.put(
                    DocumentStore.key(ENVIRONMENT, Stage.PRODUCTION),
                    JsonText.write(Map.of("text", text)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // Operations

    /** Supplies a VM list with the targets, so that the entry connects to them. */
    void listVms() {
        List<VmRecord> vms = new ArrayList<>();
        for (int i = 0; i < MODEL_TARGETS; i++) {
            vms.add(target(1 + i, "lantern-lm"));
        }
        for (int i = 0; i < SERVICE_TARGETS; i++) {
            vms.add(target(SERVICE_PORT + i, "booking"));
        }
        mTargets.updateVms(vms, mClock.nowMs());
    }

    private static VmRecord target(int port, String service) {
        return new VmRecord(
                VmId.of("vm-" + port),
                ENVIRONMENT,
                AvailabilityZoneId.of("dar-a"),
                VmRecord.Role.TARGET,
                ServiceId.of(service),
                "127.0.0.1",
                port,
                VmRecord.State.LIVE);
    }

    @Override
    public void execute(Runnable task) {
        mTasks.add(task);
    }

    /** Runs the queued tasks, then one tick of the entry. */
    void tick() {
        runTasks();
        mFollower.tick();
        mClaims.tick();
        if (mFollower.configuration().isPresent()) {
            long revision = mFollower.revision().number();
            if (revision > mAppliedRevision) {
                mAppliedRevision = revision;
                mDispatcher.onConfiguration(configuration());
            }
            mTargets.dial(mClock.nowMs());
            mDispatcher.tick();
            mSteps.tick();
        }
        runTasks();
    }

    private void runTasks() {
        for (Runnable task = mTasks.poll(); task != null; task = mTasks.poll()) {
            task.run();
        }
    }

    /** Returns a request for a route. */
    RequestSpec spec(String id, String routeName, RequestClass requestClass, String key) {
        Route route =
                configuration().document().routes().stream()
                        .filter(r -> r.name().value().equals(routeName))
                        .findFirst()
                        .orElseThrow();
        boolean isKeyed = !key.isEmpty();
        return new RequestSpec(
                RequestId.of(id),
                AccountId.of("box-office-dar"),
                Optional.of(KeyHash.ofKey(KEY)),
                route,
                requestClass,
                "POST",
                "/holds",
                isKeyed ? Map.of("idempotency-key", key) : Map.of(),
                (isKeyed ? key : id).getBytes(StandardCharsets.UTF_8),
                0,
                5_000,
                false,
                WeightVersion.NONE,
                key);
    }

    // Accessors

    Configuration configuration() {
        return mFollower.configuration().orElseThrow();
    }

    ConfigurationFollower follower() {
        return mFollower;
    }

    RequestDispatcher dispatcher() {
        return mDispatcher;
    }

    StepManager steps() {
        return mSteps;
    }

    FakeSideProcesses sides() {
        return mSides;
    }

    EntryLinkListener links() {
        return mLinks;
    }

    /** A clock that only the test advances. */
    static final class Clock {
        private long mNowMs = 1;

        long nowMs() {
            return mNowMs;
        }

        void advance(long ms) {
            mNowMs += ms;
        }
    }

    /** Returns a random duration of a test's next step, in milliseconds. */
    static long pause(Random random) {
        return random.nextInt(30);
    }
}
