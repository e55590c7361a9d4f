package dev.cactusspan.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.ClientLimits;
import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.FakeTargets;
import dev.cactusspan.fleet.FleetAccount;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.region.Residency;
import dev.cactusspan.result.ErrorKind;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Requests of routes and accounts that are bound to regions. */
final class RequestsBoundToRegionsTest extends RequestForwarderFixture {
    private static final AccountId ACME = AccountId.of("acme");

    private long mRevision;

    private void bind(Set<String> route, Set<String> account) {
        FleetRoute unbound = route(RouteKind.IDEMPOTENT);
        FleetRoute bound =
                new FleetRoute(
                        unbound.name(),
                        unbound.host(),
                        unbound.prefix(),
                        unbound.kind(),
                        unbound.timeoutMs(),
                        unbound.sloMs(),
                        unbound.priority(),
                        unbound.shares(),
                        unbound.maxAttempts(),
                        unbound.isOpen(),
                        unbound.isResumable(),
                        unbound.batch(),
                        of(route));
        mDesired =
                Optional.of(
                        DesiredState.of(
                                Revision.of(++mRevision),
                                List.of(bound),
                                List.of(),
                                List.of(new FleetAccount(ACME, 0, Set.of("k"), of(account))),
                                new ClientLimits(1_000, 1_000, 1_000, 1_000)));
    }

    private static Residency of(Set<String> regions) {
        return Residency.of(
                regions.stream().map(RegionId::of).collect(java.util.stream.Collectors.toSet()));
    }

    private void putIn(String zone, String id) {
        mTargets.put(FakeTargets.inZone(zone, FakeTargets.record(id, "app", 4, 0)));
    }

    private List<String> zonesOfSends() {
        return mPort.sent().stream().map(s -> s.target().zone().value()).toList();
    }

    @Test
    void shouldSendOnlyToTargetsOfItsRegions() {
        putIn("a", "t0");
        putIn("b", "t1");
        putIn("b", "t2");
        bind(Set.of("rb"), Set.of());
        for (int i = 0; i < 12; i++) {
            submit("q" + i, RouteKind.IDEMPOTENT, new Sink());
        }
        assertThat(zonesOfSends(), hasSize(12));
        assertThat(zonesOfSends(), everyItem(is("b")));
    }

    @Test
    void shouldRepeatAndHedgeOnlyInItsRegions() {
        putIn("a", "t0");
        putIn("b", "t1");
        putIn("b", "t2");
        bind(Set.of("ra", "rb"), Set.of("rb"));
        submit("slow", RouteKind.IDEMPOTENT, new Sink());
        run(120);
        assertThat(mPort.sent(), hasSize(2));
        submit("lost", RouteKind.IDEMPOTENT, new Sink());
        mPort.last().disconnect();
        run(50);
        assertThat(mPort.sent(), hasSize(4));
        assertThat(zonesOfSends(), everyItem(is("b")));
    }

    @Test
    void shouldRefuseAtOnceWithoutATargetInItsRegions() {
        putIn("a", "t0");
        bind(Set.of("rb"), Set.of());
        Sink sink = new Sink();
        submit("q", RouteKind.IDEMPOTENT, sink);
        assertThat(mPort.sent(), hasSize(0));
        assertThat(sink.mFailures.get(0).kind(), is(ErrorKind.NO_TARGET_IN_REGION));
        assertThat(sink.mFailures.get(0).isNotRun(), is(true));
        assertThat(sink.mRetryAfterMs, is(WaitRule.NO_TARGET_RETRY_AFTER_MS));
    }

    @Test
    void shouldRefuseAtOnceWhereRouteAndAccountHaveNoRegionInCommon() {
        putIn("a", "t0");
        putIn("b", "t1");
        bind(Set.of("ra"), Set.of("rb"));
        Sink sink = new Sink();
        submit("q", RouteKind.IDEMPOTENT, sink);
        assertThat(sink.mFailures, hasSize(1));
        assertThat(mPort.sent(), hasSize(0));
    }

    @Test
    void shouldFollowAChangeOfRegionsWhileARequestWaits() {
        putIn("a", "t0");
        putIn("b", "t1");
        bind(Set.of("ra"), Set.of());
        mTargets.find(TargetId.of("t0")).orElseThrow().avoidUntil(mThread.nowMs() + 5_000);
        submit("q", RouteKind.IDEMPOTENT, new Sink());
        mPort.last().respond(503, "", true);
        bind(Set.of("rb"), Set.of());
        run(100);
        assertThat(zonesOfSends().get(0), is("a"));
        assertThat(zonesOfSends().get(zonesOfSends().size() - 1), is("b"));
    }
}
