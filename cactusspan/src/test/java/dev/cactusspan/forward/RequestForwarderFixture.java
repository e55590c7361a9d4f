package dev.cactusspan.forward;

import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.ObservingTargets;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.fleet.TargetChooser;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.intake.Body;
import dev.cactusspan.intake.MemoryBudget;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.region.RegionMap;
import dev.cactusspan.result.Failure;
import dev.cactusspan.routing.ZoneDistance;
import dev.cactusspan.store.ManualThread;
import dev.cactusspan.waiting.ServiceLinesFixture;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/** A forwarder whose targets and clock a test controls. */
abstract class RequestForwarderFixture {
    static final long TICK_MS = 10;
    static final int MAX_ATTEMPTS = 3;

    final ManualThread mThread = new ManualThread();
    final FakeTargets mPort = new FakeTargets();
    final RegionMap mRegions =
            RegionMap.of(
                    Map.of(
                            AvailabilityZoneId.of("a"),
                            RegionId.of("ra"),
                            AvailabilityZoneId.of("b"),
                            RegionId.of("rb")));
    final TargetTable mTargets = new TargetTable(mRegions);
    Optional<DesiredState> mDesired = Optional.empty();
    long mTimeoutMs = 1_000;
    final FakeOrigins mOrigins = new FakeOrigins();
    final List<AccountId> mUsage = new ArrayList<>();
    final MemoryBudget mResponses = new MemoryBudget(16 << 20);
    final RequestForwarder mForwarder =
            new RequestForwarder(
                    mTargets,
                    new ObservingTargets(mPort, mTargets, mThread::nowMs),
                    new TargetChooser(zone -> ZoneDistance.SAME_ZONE, new SplittableRandom(1)),
                    ServiceLinesFixture.requests(mTargets, mThread),
                    () -> mDesired,
                    this::countUsage,
                    new CrashGuard("entry"),
                    mOrigins,
                    mResponses,
                    Telemetry.create(),
                    new SplittableRandom(1),
                    mThread::nowMs);

    /** Records the responses to a client. */
    static final class Sink implements ClientSink {
        final List<Integer> mStatuses = new ArrayList<>();
        final List<Failure> mFailures = new ArrayList<>();
        final StringBuilder mBody = new StringBuilder();
        String mLastCall = "";
        long mRetryAfterMs;

        @Override
        public void respond(int status, Map<String, String> headers, Body body) {
            mStatuses.add(status);
            mBody.append(new String(body.toBytes(), StandardCharsets.UTF_8));
            body.hold().close();
        }

        @Override
        public void start(int status, Map<String, String> headers) {
            mStatuses.add(status);
        }

        @Override
        public void data(byte[] data, Runnable written) {
            mBody.append(new String(data, StandardCharsets.UTF_8));
            written.run();
        }

        @Override
        public void end() {
            mLastCall = "end";
        }

        @Override
        public void abort() {
            mLastCall = "abort";
        }

        @Override
        public void fail(Failure failure, long retryAfterMs) {
            mRetryAfterMs = retryAfterMs;
            mFailures.add(failure);
        }

        int responseCount() {
            return mStatuses.size() + mFailures.size();
        }
    }

    private Runnable countUsage(AccountId account) {
        mUsage.add(account);
        return () -> mUsage.remove(account);
    }

    FleetRoute route(RouteKind kind) {
        return new FleetRoute(
                RouteId.of("r"),
                "h",
                "/",
                kind,
                mTimeoutMs,
                200,
                0,
                List.of(new FleetRoute.Share(ServiceId.of("app"), 1)),
                MAX_ATTEMPTS,
                false,
                false,
                new FleetRoute.BatchBounds(0, 0, false));
    }

    void targets(int count) {
        for (int i = 0; i < count; i++) {
            mTargets.put(FakeTargets.record("t" + i, "app", 4, 0));
        }
    }

    Runnable submit(String id, RouteKind kind, Sink sink) {
        return submit(id, kind, 2_000, sink);
    }

    Runnable submit(String id, RouteKind kind, long clientTimeoutMs, Sink sink) {
        ClientRequest request =
                new ClientRequest(
                        RequestId.of(id),
                        "POST",
                        "/x",
                        "h",
                        Map.of(),
                        new byte[0],
                        Optional.empty(),
                        OptionalLong.of(clientTimeoutMs),
                        OptionalLong.empty(),
                        Optional.empty());
        return mForwarder.submit(
                request, route(kind), Optional.of(AccountId.of("acme")), Optional.empty(), sink);
    }

    void run(long ms) {
        for (long i = 0; i < ms; i += TICK_MS) {
            mThread.advance(TICK_MS);
            mThread.runAll();
            mForwarder.tick();
        }
    }
}
