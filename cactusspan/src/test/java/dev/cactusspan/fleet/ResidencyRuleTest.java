package dev.cactusspan.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.region.Residency;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Requests of routes and accounts whose regions change while the requests wait. */
final class ResidencyRuleTest {
    private static final AccountId ACME = AccountId.of("acme");
    private static final RouteId ROUTE = RouteId.of("r");

    private Optional<DesiredState> mDesired = Optional.empty();
    private final ResidencyRule mRule = new ResidencyRule(() -> mDesired);

    private static Residency of(String... regions) {
        return Residency.of(Arrays.stream(regions).map(RegionId::of).collect(Collectors.toSet()));
    }

    private static FleetRoute route(Residency residency) {
        return new FleetRoute(
                ROUTE,
                "h",
                "/",
                RouteKind.IDEMPOTENT,
                1_000,
                200,
                0,
                List.of(new FleetRoute.Share(ServiceId.of("app"), 1)),
                3,
                false,
                false,
                new FleetRoute.BatchBounds(0, 0, false),
                residency);
    }

    private void setDesired(List<FleetRoute> routes, Residency account) {
        mDesired =
                Optional.of(
                        DesiredState.of(
                                Revision.of(1),
                                routes,
                                List.of(),
                                List.of(new FleetAccount(ACME, 0, Set.of("k"), account)),
                                new ClientLimits(1_000, 1_000, 1_000, 1_000)));
    }

    @Test
    void shouldBindByRouteAndAccount() {
        setDesired(List.of(route(of("ra", "rb"))), of("rb", "rc"));
        assertThat(mRule.of(route(of("ra", "rb")), Optional.of(ACME)), is(of("rb")));
        assertThat(mRule.of(route(of("ra", "rb")), Optional.empty()), is(of("ra", "rb")));
        assertThat(mRule.of(ROUTE, ACME, Residency.ANYWHERE), is(of("rb")));
    }

    @Test
    void shouldBindByTheDesiredStateOfTheMoment() {
        FleetRoute atArrival = route(of("ra"));
        setDesired(List.of(route(of("rb"))), Residency.ANYWHERE);
        assertThat(mRule.of(atArrival, Optional.of(ACME)), is(of("rb")));
        assertThat(mRule.of(ROUTE, ACME, of("ra")), is(of("rb")));
        setDesired(List.of(route(Residency.ANYWHERE)), Residency.ANYWHERE);
        assertThat(mRule.of(ROUTE, ACME, of("ra")), is(Residency.ANYWHERE));
    }

    @Test
    void shouldKeepTheRegionsOfARouteThatIsGone() {
        setDesired(List.of(), of("ra", "rc"));
        assertThat(mRule.of(route(of("ra", "rb")), Optional.of(ACME)), is(of("ra")));
        assertThat(mRule.of(ROUTE, ACME, of("rb", "rc")), is(of("rc")));
    }

    @Test
    void shouldBindBeforeAnyDesiredStateIsKnown() {
        assertThat(mRule.of(ROUTE, ACME, of("rb")), is(of("rb")));
    }
}
