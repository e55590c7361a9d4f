package dev.cactusspan.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.fleet.TargetChooser;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.forward.ClientRequest;
import dev.cactusspan.forward.ClientSink;
import dev.cactusspan.forward.CrashGuard;
import dev.cactusspan.forward.FakeOrigins;
import dev.cactusspan.forward.RequestForwarder;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.intake.Body;
import dev.cactusspan.intake.MemoryBudget;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.Failure;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.routing.ZoneDistance;
import dev.cactusspan.store.FakeKeyStore;
import dev.cactusspan.store.ManualThread;
import dev.cactusspan.store.PrefixMirror;
import dev.cactusspan.waiting.ServiceLinesFixture;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Processes that share through the store which requests crash targets. */
final class CrashExchangeTest {
    private static final long TICK_MS = 10;
    private static final long RECONNECT_MS = 4_000;
    private static final long ARRIVAL_INTERVAL_MS = 5_000;
    private static final int TARGETS = 200;

    /** Three crashes, and three retries. */
    private static final int MAX_CRASHES = 6;

    private final ManualThread mThread = new ManualThread();
    private final FakeKeyStore mStore = new FakeKeyStore(mThread);
    private int mStarts;
    private int mCrashes;

    /** One process; each target that it sends a request to crashes. */
    private final class Node {
        private final FakeTargets mPort = new FakeTargets();
        private final TargetTable mTargets = new TargetTable();
        private final CrashGuard mGuard = new CrashGuard("node#" + mStarts++);
        private final CrashExchange mExchange =
                new CrashExchange(mGuard, mStore, mThread, mThread::nowMs);
        private final PrefixMirror mMirror =
                new PrefixMirror(
                        mStore,
                        "cs/control/",
                        mThread,
                        new Backoff(100, 1_000, new SplittableRandom(1)),
                        RECONNECT_MS,
                        mThread::nowMs,
                        mExchange::onKeyChanged);
        private final RequestForwarder mForwarder =
                new RequestForwarder(
                        mTargets,
                        mPort,
                        new TargetChooser(zone -> ZoneDistance.SAME_ZONE, new SplittableRandom(1)),
                        ServiceLinesFixture.requests(mTargets, mThread),
                        Optional::empty,
                        account -> () -> {},
                        mGuard,
                        new FakeOrigins(),
                        MemoryBudget.ofHeap(32 << 20),
                        Telemetry.create(),
                        new SplittableRandom(1),
                        mThread::nowMs);
        private int mEnded;

        Node() {
            for (int i = 0; i < TARGETS; i++) {
                mTargets.put(FakeTargets.record("t" + i, "app", 4, 0));
            }
        }

        void tick() {
            mMirror.tick();
            mExchange.tick();
            mForwarder.tick();
            while (mEnded < mPort.sent().size()) {
                mCrashes++;
                mPort.sent().get(mEnded++).disconnect();
            }
        }

        void submit() {
            ClientRequest request =
                    new ClientRequest(
                            RequestId.of("r" + mThread.nowMs()),
                            "POST",
                            "/x",
                            "h",
                            Map.of(),
                            new byte[0],
                            Optional.empty(),
                            OptionalLong.of(1_000),
                            OptionalLong.empty(),
                            Optional.empty());
            mForwarder.submit(
                    request,
                    ROUTE,
                    Optional.of(AccountId.of("acme")),
                    Optional.empty(),
                    new NoSink());
        }
    }

    private static final FleetRoute ROUTE =
            new FleetRoute(
                    RouteId.of("r"),
                    "h",
                    "/",
                    RouteKind.IDEMPOTENT,
                    1_000,
                    200,
                    0,
                    List.of(new FleetRoute.Share(ServiceId.of("app"), 1)),
                    2,
                    false,
                    false,
                    new FleetRoute.BatchBounds(0, 0, false));

    /** Ignores the responses. */
    private static final class NoSink implements ClientSink {
        @Override
        public void respond(int status, Map<String, String> headers, Body body) {}

        @Override
        public void start(int status, Map<String, String> headers) {}

        @Override
        public void data(byte[] data, Runnable written) {}

        @Override
        public void end() {}

        @Override
        public void abort() {}

        @Override
        public void fail(Failure failure, long retryAfterMs) {}
    }

    private void run(List<Node> nodes, long ms) {
        for (long i = 0; i < ms; i += TICK_MS) {
            mThread.advance(TICK_MS);
            mStore.step();
            mThread.runAll();
            nodes.forEach(Node::tick);
        }
    }

    private List<Node> start(int count) {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(new Node());
        }
        run(nodes, 500);
        return nodes;
    }

    @Test
    void shouldCountCrashesOverProcessesAndRestarts() {
        List<Node> nodes = start(3);
        for (int i = 0; i < 9; i++) {
            nodes.get(i % 3).submit();
            run(nodes, ARRIVAL_INTERVAL_MS);
            nodes.set(i % 3, new Node());
            run(nodes, 500);
        }
        assertThat(mCrashes, is(3));
    }

    @Test
    void shouldShareACrashOnceTheStoreIsBack() {
        List<Node> nodes = start(2);
        mStore.setDown(true);
        nodes.get(0).submit();
        run(nodes, ARRIVAL_INTERVAL_MS);
        mStore.setDown(false);
        run(nodes, ARRIVAL_INTERVAL_MS);
        for (int i = 0; i < 4; i++) {
            nodes.get(1).submit();
            run(nodes, ARRIVAL_INTERVAL_MS);
        }
        assertThat(mCrashes, is(3));
    }

    @Property(tries = 100, seed = "24")
    void shouldStopAfterFewCrashesThoughResponsesOfTheStoreAreLost(@ForAll long seed) {
        Random random = new Random(seed);
        List<Node> nodes = start(3);
        mStore.setFaults(random, 0.2, 0.2);
        for (int i = 0; i < 12; i++) {
            nodes.get(random.nextInt(3)).submit();
            run(nodes, ARRIVAL_INTERVAL_MS);
        }
        assertThat(mCrashes, is(lessThanOrEqualTo(MAX_CRASHES)));
    }
}
