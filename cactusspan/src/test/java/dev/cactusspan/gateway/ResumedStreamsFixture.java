package dev.cactusspan.gateway;

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
import dev.cactusspan.forward.RequestForwarder;
import dev.cactusspan.forward.StreamResumer;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.intake.Body;
import dev.cactusspan.intake.MemoryBudget;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.platform.PlatformReader;
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

/** Processes with resumable streams of one route, and clients that resume them. */
abstract class ResumedStreamsFixture {
    static final long TICK_MS = 10;
    static final long RECONNECT_MS = 4_000;
    static final int EVENTS = 12;
    static final FleetRoute ROUTE =
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
    static final DesiredState DESIRED =
            DesiredState.of(
                    Revision.of(1),
                    List.of(ROUTE),
                    List.of(),
                    List.of(),
                    new ClientLimits(1_000, 1_000, 1_000, 1_000));

    final ManualThread mThread = new ManualThread();
    final FakeKeyStore mStore = new FakeKeyStore(mThread);
    final List<Node> mNodes = new ArrayList<>();
    final Map<String, String> mTargets = new TreeMap<>();
    int mRequests;

    /** One process. */
    final class Node {
        final FakeTargets mPort = new FakeTargets();
        final TargetTable mTable = new TargetTable();
        final StreamOriginExchange mOrigins =
                new StreamOriginExchange(
                        mTable,
                        () -> Optional.of(DESIRED),
                        mStore,
                        this::isStoreAvailable,
                        mThread,
                        mThread::nowMs);
        final PrefixMirror mMirror =
                new PrefixMirror(
                        mStore,
                        "cs/control/",
                        mThread,
                        new Backoff(100, 1_000, new SplittableRandom(1)),
                        RECONNECT_MS,
                        mThread::nowMs,
                        mOrigins::onKeyChanged);
        final RequestForwarder mForwarder =
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
                        MemoryBudget.ofHeap(32 << 20),
                        Telemetry.create(),
                        new SplittableRandom(1),
                        mThread::nowMs);
        final StreamResumer mResumer = new StreamResumer(mForwarder, mOrigins, Telemetry.create());
        int mAnswered;
        boolean mIsOutOfStep;

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
    static final class Client implements ClientSink {
        final Set<String> mSoftware = new HashSet<>();
        Optional<RequestId> mFirst = Optional.empty();
        RequestId mCurrent = RequestId.of("");
        long mLastEvent;
        int mResumptions;
        int mContinued;
        boolean mIsBroken;
        boolean mIsWhole;
        Optional<Failure> mFailure = Optional.empty();

        @Override
        public void respond(int status, Map<String, String> headers, Body body) {}

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

    void submit(Node node, Client client) {
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

    void start(int count) {
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

    void run(long ms) {
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

    FakeTargets.Sent last(int node) {
        return mNodes.get(node).mPort.last();
    }

    /** Begins a stream of a client at a node, and sends its first three events. */
    Client begin(int node) {
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
}
