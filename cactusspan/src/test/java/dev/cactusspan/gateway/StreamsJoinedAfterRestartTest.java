package dev.cactusspan.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.ClientLimits;
import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.fleet.TargetChooser;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.forward.ClientRequest;
import dev.cactusspan.forward.ClientSink;
import dev.cactusspan.forward.CrashGuard;
import dev.cactusspan.forward.OriginListing;
import dev.cactusspan.forward.RequestForwarder;
import dev.cactusspan.forward.StreamResumer;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.platform.PlatformReader;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.routing.ZoneDistance;
import dev.cactusspan.store.FakeKeyStore;
import dev.cactusspan.store.ManualThread;
import dev.cactusspan.store.PrefixMirror;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.waiting.ServiceLinesFixture;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Streams that clients resumed after a restart of all processes went on at another software
 * version.
 */
final class StreamsJoinedAfterRestartTest {
    private static final long TICK_MS = 10;
    private static final long RECONNECT_MS = 4_000;
    private static final int EVENTS = 12;
    private static final FleetRoute ROUTE =
            new FleetRoute(
                    RouteId.of("r"),
                    "h",
                    "/",
                    RouteKind.STREAMING,
                    20_000,
                    400,
                    0,
                    List.of(new FleetRoute.Share(ServiceId.of("lm"), 1)),
                    3,
                    false,
                    true,
                    new FleetRoute.BatchBounds(0, 0, false));
    private static final DesiredState DESIRED =
            DesiredState.of(
                    Revision.of(1),
                    List.of(ROUTE),
                    List.of(),
                    List.of(),
                    new ClientLimits(1_000, 1_000, 1_000, 1_000));

    private final ManualThread mThread = new ManualThread();
    private final FakeKeyStore mStore = new FakeKeyStore(mThread);
    private final List<Node> mNodes = new ArrayList<>();
    private final Map<String, String> mTargets = new TreeMap<>();
    private int mRequests;

    /** One process. */
    private final class Node {
        private final FakeTargets mPort = new FakeTargets();
        private final TargetTable mTable = new TargetTable();
        private final StreamOriginExchange mOrigins =
                new StreamOriginExchange(
                        mTable,
                        () -> Optional.of(DESIRED),
                        mStore,
                        this::isStoreAvailable,
                        mThread,
                        mThread::nowMs);
        private final PrefixMirror mMirror =
                new PrefixMirror(
                        mStore,
                        "cs/control/",
                        mThread,
                        new Backoff(100, 1_000, new SplittableRandom(1)),
                        RECONNECT_MS,
                        mThread::nowMs,
                        mOrigins::onKeyChanged);
        private final RequestForwarder mForwarder =
                new RequestForwarder(
                        mTable,
                        mPort,
                        new TargetChooser(
                                zone -> ZoneDistance.SAME_ZONE, new SplittableRandom(mRequests)),
                        ServiceLinesFixture.requests(mTable, mThread),
                        () -> Optional.of(DESIRED),
                        account -> () -> {},
                        new CrashGuard("node"),
                        mOrigins,
                        Telemetry.create(),
                        new SplittableRandom(1),
                        mThread::nowMs);
        private final StreamResumer mResumer =
                new StreamResumer(mForwarder, mOrigins, Telemetry.create());
        private int mAnswered;
        private boolean mIsOutOfStep;

        private boolean isStoreAvailable() {
            return mMirror.isHealthy();
        }

        void tick(boolean isLister) {
            if (!mIsOutOfStep) {
                followTargets();
                mMirror.tick();
            }
            mOrigins.tick(isLister);
            mForwarder.tick();
        }

        private void followTargets() {
            mTable.all().stream()
                    .map(t -> t.record().id())
                    .filter(id -> !mTargets.containsKey(id.value()))
                    .toList()
                    .forEach(id -> mTable.remove(id, mThread.nowMs(), true));
            mTargets.forEach(
                    (id, software) -> mTable.put(FakeTargets.record(id, "lm", software, 99, 1)));
        }

        /** Sends some events of each stream that has begun since, and breaks it off or ends it. */
        void answer(Random random) {
            while (mAnswered < mPort.sent().size()) {
                FakeTargets.Sent sent = mPort.sent().get(mAnswered++);
                long from = sent.request().resumeAfter().orElse(0);
                long upTo = Math.min(EVENTS, from + 1 + random.nextInt(EVENTS));
                sent.startStream(1);
                for (long id = from + 1; id <= upTo; id++) {
                    sent.event(id, sent.target().software().value());
                }
                if (upTo == EVENTS) {
                    sent.end();
                } else if (random.nextBoolean()) {
                    sent.disconnect();
                }
            }
        }
    }

    /** A client that resumes its stream until it is whole. */
    private static final class Client implements ClientSink {
        private final Set<String> mSoftware = new HashSet<>();
        private Optional<RequestId> mFirst = Optional.empty();
        private RequestId mCurrent = RequestId.of("");
        private long mLastEvent;
        private int mResumptions;
        private int mContinued;
        private boolean mIsBroken;
        private boolean mIsWhole;
        private Optional<Failure> mFailure = Optional.empty();

        @Override
        public void respond(int status, Map<String, String> headers, byte[] body) {}

        @Override
        public void start(int status, Map<String, String> headers) {
            if (mFirst.isPresent()) {
                mContinued++;
            }
        }

        @Override
        public void data(byte[] data, Runnable written) {
            String[] parts = new String(data, StandardCharsets.UTF_8).strip().split("\\|", -1);
            mLastEvent = Long.parseLong(parts[0]);
            mSoftware.add(parts[1]);
            mFirst = mFirst.or(() -> Optional.of(mCurrent));
            written.run();
        }

        @Override
        public void end() {
            mIsWhole = true;
        }

        @Override
        public void abort() {
            mIsBroken = true;
        }

        @Override
        public void fail(Failure failure, long retryAfterMs) {
            mFailure = Optional.of(failure);
            mIsBroken = true;
        }
    }

    private void submit(Node node, Client client) {
        client.mIsBroken = false;
        client.mFailure = Optional.empty();
        client.mCurrent = RequestId.of("r" + mRequests++);
        if (client.mFirst.isPresent()) {
            client.mResumptions++;
        }
        node.mResumer.submit(
                new ClientRequest(
                        client.mCurrent,
                        "POST",
                        "/x/" + client.mCurrent,
                        "h",
                        Map.of(),
                        new byte[0],
                        Optional.empty(),
                        OptionalLong.of(20_000),
                        client.mFirst.isPresent()
                                ? OptionalLong.of(client.mLastEvent)
                                : OptionalLong.empty(),
                        client.mFirst),
                ROUTE,
                Optional.empty(),
                client);
    }

    private void start(int count) {
        mNodes.clear();
        for (int i = 0; i < count; i++) {
            mNodes.add(new Node());
        }
        run(300);
    }

    /** Registers targets in the store, where processes look that cannot rely on their own list. */
    private void register() {
        String prefix = PlatformReader.TARGET_PREFIX;
        List.copyOf(mStore.items().keySet()).stream()
                .filter(key -> key.startsWith(prefix))
                .filter(key -> !mTargets.containsKey(key.substring(prefix.length())))
                .forEach(mStore::delete);
        mTargets.forEach(
                (id, software) -> {
                    if (!mStore.items().containsKey(prefix + id)) {
                        mStore.put(prefix + id, entry(software));
                    }
                });
    }

    private static byte[] entry(String software) {
        return JsonText.write(
                Map.of(
                        "service", "lm",
                        "version", software,
                        "zone", "a",
                        "state", "ready",
                        "address", "10.0.0.9:80",
                        "slots", 1,
                        "sequence", 0));
    }

    private void run(long ms) {
        register();
        for (long i = 0; i < ms; i += TICK_MS) {
            mThread.advance(TICK_MS);
            mStore.step();
            mThread.runAll();
            for (Node node : mNodes) {
                node.tick(node == mNodes.get(0));
            }
            mThread.runAll();
        }
    }

    private FakeTargets.Sent last(int node) {
        return mNodes.get(node).mPort.last();
    }

    /** Begins a stream of a client at a node, and sends its first three events. */
    private Client begin(int node) {
        Client client = new Client();
        submit(mNodes.get(node), client);
        run(TICK_MS);
        last(node).startStream(1);
        mThread.runAll();
        for (int id = 1; id <= 3; id++) {
            last(node).event(id, last(node).target().software().value());
        }
        return client;
    }

    @Test
    void shouldResumeAtTheVersionThatBeganTheStreamAfterARestartOfAllProcesses() {
        mTargets.put("a", "v1");
        start(2);
        mTargets.put("b", "v2");
        mTargets.remove("a");
        run(100);
        Client client = begin(0);
        mTargets.put("a", "v1");
        mTargets.put("c", "v1");
        start(2);
        for (int i = 0; i < 6; i++) {
            submit(mNodes.get(1), client);
            run(TICK_MS);
            assertThat(last(1).target().id(), is(TargetId.of("b")));
        }
    }

    @Test
    void shouldRejectAtOnceWhenTheVersionThatBeganTheStreamHasLeft() {
        mTargets.put("a", "v1");
        start(2);
        Client client = begin(0);
        mTargets.remove("a");
        mTargets.put("b", "v2");
        start(2);
        submit(mNodes.get(1), client);
        run(TICK_MS);
        assertThat(client.mFailure.orElseThrow().isNotRun(), is(true));
        assertThat(mNodes.get(1).mPort.sent(), is(empty()));
    }

    @Test
    void shouldRejectAResumptionWhileItsOriginCannotBeKnown() {
        mTargets.put("a", "v1");
        start(2);
        mTargets.put("b", "v2");
        run(100);
        Client client = begin(0);
        mStore.setDown(true);
        submit(mNodes.get(1), client);
        run(TICK_MS);
        assertThat(client.mFailure.orElseThrow().kind(), is(ErrorKind.PLATFORM_UNAVAILABLE));
        assertThat(client.mFailure.orElseThrow().isNotRun(), is(true));
    }

    /**
     * A release at an entry that is out of step: it knows the old version only, and a stream of the
     * new one has no record, as the entry where it began could not reach the store and ended.
     */
    @Test
    void shouldNotTakeAStreamForTheOldVersionOnAnOldList() {
        mTargets.put("a", "v1");
        start(2);
        mTargets.put("b", "v2");
        run(100);
        mNodes.get(1).mIsOutOfStep = true;
        mTargets.remove("a");
        run(100);
        mStore.setDown(true);
        Client client = begin(0);
        run(1_000);
        assertThat(client.mSoftware, is(Set.of("v2")));
        mNodes.set(0, new Node());
        mStore.setDown(false);
        submit(mNodes.get(1), client);
        run(TICK_MS);
        assertThat(mNodes.get(1).mPort.sent(), is(empty()));
        assertThat(client.mFailure.orElseThrow().kind(), is(ErrorKind.STREAM_ORIGIN_UNKNOWN));
    }

    /** The list of origins that such an entry has is old as well. */
    @Test
    void shouldNotTakeAStreamForTheOriginOfAnOldListOfOrigins() {
        mTargets.put("a", "v1");
        start(2);
        mNodes.get(1).mIsOutOfStep = true;
        mTargets.remove("a");
        mTargets.put("b", "v2");
        run(OriginListing.RETENTION_MS + 1_000);
        Client client = begin(0);
        submit(mNodes.get(1), client);
        run(TICK_MS);
        mNodes.get(1).mPort.sent().forEach(s -> assertThat(s.target().id().value(), is("b")));
    }

    @Test
    void shouldRejectAResumptionThatNamesNoFirstAttempt() {
        mTargets.put("a", "v1");
        start(1);
        Client client = begin(0);
        client.mFirst = Optional.empty();
        client.mCurrent = RequestId.of("r9");
        mNodes.get(0)
                .mResumer
                .submit(
                        new ClientRequest(
                                client.mCurrent,
                                "POST",
                                "/x",
                                "h",
                                Map.of(),
                                new byte[0],
                                Optional.empty(),
                                OptionalLong.of(20_000),
                                OptionalLong.of(3),
                                Optional.empty()),
                        ROUTE,
                        Optional.empty(),
                        client);
        assertThat(client.mFailure.orElseThrow().kind(), is(ErrorKind.STREAM_ORIGIN_UNKNOWN));
    }

    @Test
    void shouldBeginStreamsAtTheOldestVersionWhileTheStoreIsUnavailable() {
        mTargets.put("a", "v1");
        start(1);
        mTargets.put("b", "v2");
        run(100);
        mStore.setDown(true);
        run(1_000);
        for (int i = 0; i < 6; i++) {
            submit(mNodes.get(0), new Client());
            assertThat(last(0).target().id(), is(TargetId.of("a")));
        }
        mTargets.remove("a");
        run(TICK_MS);
        Client client = begin(0);
        assertThat(client.mSoftware, is(Set.of("v2")));
    }

    /** Other processes may still send to a target that said to this one that it leaves. */
    @Test
    void shouldNotBeginUnrecordedStreamsBesideTargetsOfTheOldestVersionThatLeave() {
        mTargets.put("a", "v1");
        start(1);
        mTargets.put("b", "v2");
        run(100);
        mStore.setDown(true);
        run(1_000);
        Node node = mNodes.get(0);
        node.mTable.recordLeaving(node.mTable.find(TargetId.of("a")).orElseThrow().record());
        Client client = new Client();
        submit(node, client);
        run(1_000);
        assertThat(node.mPort.sent(), is(empty()));
        assertThat(client.mFailure.orElseThrow().isNotRun(), is(true));
    }

    @Test
    void shouldNotCallTheStoreForStreamsOfTheOldestVersion() {
        mTargets.put("a", "v1");
        start(1);
        int calls = mStore.calls();
        for (int i = 0; i < 50; i++) {
            begin(0);
        }
        assertThat(mStore.calls() - calls <= 1, is(true));
        assertThat(
                mStore.items().keySet().stream().filter(k -> k.startsWith("cs/stream/")).toList(),
                hasSize(0));
    }

    /**
     * Replays upgrades there and back beside restarts of all processes and lost responses of the
     * store: no client has events of two versions, and most resumptions go on.
     */
    @Property(seed = "2402", tries = 150)
    void shouldNeverJoinTwoVersions(@ForAll long seed) {
        new StreamsJoinedAfterRestartTest().replay(new Random(seed));
    }

    private void replay(Random random) {
        mTargets.put("a1", "v1");
        mTargets.put("a2", "v1");
        start(3);
        mStore.setFaults(random, 0.05, 0.05);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            upgrade(random);
            if (random.nextInt(15) == 0) {
                clients.stream().filter(c -> !c.mIsWhole).forEach(c -> c.mIsBroken = true);
                start(3);
            }
            Client client = new Client();
            clients.add(client);
            submit(anyNode(random), client);
            clients.stream()
                    .filter(c -> c.mIsBroken && c.mFirst.isPresent() && !c.mIsWhole)
                    .limit(2)
                    .forEach(c -> submit(anyNode(random), c));
            run(TICK_MS);
            mNodes.forEach(n -> n.answer(random));
            run(2 * TICK_MS);
        }
        clients.forEach(c -> assertThat(c.mSoftware.size() <= 1, is(true)));
        int resumptions = clients.stream().mapToInt(c -> c.mResumptions).sum();
        int continued = clients.stream().mapToInt(c -> c.mContinued).sum();
        assertThat(continued * 2, is(greaterThanOrEqualTo(resumptions)));
    }

    /** Adds or removes targets, of which at least one per version stays. */
    private void upgrade(Random random) {
        switch (random.nextInt(12)) {
            case 0 -> mTargets.put("b1", "v2");
            case 1 -> mTargets.put("b2", "v2");
            case 2 -> mTargets.remove("a2");
            case 3 -> mTargets.put("a2", "v1");
            default -> {}
        }
    }

    private Node anyNode(Random random) {
        return mNodes.get(random.nextInt(mNodes.size()));
    }
}
