package dev.cactusspan.waiting;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.ClientLimits;
import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.FleetAccount;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.FleetService;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.region.Residency;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks ranks and urgency of kinds of requests that compete for the same engines. */
final class RanksTest {
    private static final ServiceId ENGINE = ServiceId.of("lm");
    private static final ServiceId PLAIN = ServiceId.of("app");

    private static FleetRoute route(String name, ServiceId service, int priority) {
        return new FleetRoute(
                RouteId.of(name),
                "h",
                "/" + name + "/",
                RouteKind.BATCH,
                0,
                0,
                priority,
                List.of(new FleetRoute.Share(service, 1)),
                1,
                false,
                false,
                new FleetRoute.BatchBounds(0, 0, false));
    }

    private static Ranks ranks(List<FleetRoute> routes, FleetAccount... accounts) {
        DesiredState desired =
                DesiredState.of(
                        Revision.of(1),
                        routes,
                        List.of(
                                new FleetService(ENGINE, 1, List.of(ModelId.of("m"))),
                                new FleetService(PLAIN, 1, List.of())),
                        List.of(accounts),
                        new ClientLimits(1, 1, 1, 1));
        return new Ranks(() -> Optional.of(desired));
    }

    private static FleetAccount account(String name, int priority) {
        return new FleetAccount(AccountId.of(name), priority, Set.of(), Residency.ANYWHERE);
    }

    @Test
    void shouldRankByAccountAndRoute() {
        Ranks ranks = ranks(List.of(route("a", ENGINE, 3)), account("acme", 2));
        assertThat(ranks.of("h", "/a/1", Optional.of(AccountId.of("acme"))), is(new Rank(2, 3)));
        assertThat(ranks.of("h", "/a/1", Optional.empty()), is(new Rank(0, 3)));
        assertThat(ranks.of("h", "/unknown/", Optional.empty()), is(new Rank(0, 0)));
    }

    @Test
    void shouldNameNoUrgencyWhereOnlyRoutesDiffer() {
        Ranks ranks = ranks(List.of(route("a", ENGINE, 1), route("b", ENGINE, 0)));
        assertThat(ranks.urgency(ENGINE, new Rank(0, 1)), is(OptionalInt.empty()));
    }

    /** Equal priorities other than 0 were taken for differing ones, and runs were preempted. */
    @Test
    void shouldNameNoUrgencyWhereAllAccountsHaveTheSamePriority() {
        Ranks ranks =
                ranks(
                        List.of(route("a", ENGINE, 1), route("b", ENGINE, 0)),
                        account("x", 1),
                        account("y", 1));
        assertThat(ranks.urgency(ENGINE, new Rank(1, 1)), is(OptionalInt.empty()));
    }

    @Test
    void shouldNameNoUrgencyToPlainServices() {
        Ranks ranks = ranks(List.of(route("a", PLAIN, 0)), account("x", 0), account("y", 1));
        assertThat(ranks.urgency(PLAIN, new Rank(0, 1)), is(OptionalInt.empty()));
    }

    @Test
    void shouldNameUrgencyInTheOrderOfRanks() {
        Ranks ranks =
                ranks(
                        List.of(route("a", ENGINE, 5), route("b", ENGINE, 2)),
                        account("x", 0),
                        account("y", 1));
        assertThat(ranks.urgency(ENGINE, new Rank(0, 2)), is(OptionalInt.of(0)));
        assertThat(ranks.urgency(ENGINE, new Rank(0, 5)), is(OptionalInt.of(1)));
        assertThat(ranks.urgency(ENGINE, new Rank(1, 2)), is(OptionalInt.of(2)));
    }

    @Test
    void shouldKeepWithinTheEnginesRange() {
        FleetAccount[] accounts = new FleetAccount[20];
        for (int i = 0; i < accounts.length; i++) {
            accounts[i] = account("t" + i, i);
        }
        Ranks ranks = ranks(List.of(route("a", ENGINE, 0)), accounts);
        assertThat(ranks.urgency(ENGINE, new Rank(0, 0)), is(OptionalInt.of(0)));
        assertThat(ranks.urgency(ENGINE, new Rank(19, 0)), is(OptionalInt.of(9)));
    }
}
