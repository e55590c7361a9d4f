package dev.cactusspan.waiting;

import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.FleetService;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.ServiceId;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * The ranks of work in the desired state in force, and the urgency with which engines run it. Load
 * pattern: kinds of requests of several ranks compete for the same engines, which serve them in the
 * order of arrival, so that a kind of high rank is served less often than one of low rank.
 */
public final class Ranks {
    private static final Rank UNKNOWN = new Rank(0, 0);

    /** Largest value of the urgency that engines know, which runs last. */
    private static final int MAX_URGENCY = 9;

    private final Supplier<Optional<DesiredState>> mDesired;

    /**
     * Creates the ranks.
     *
     * @param desired supplies the desired state in force
     */
    public Ranks(Supplier<Optional<DesiredState>> desired) {
        mDesired = desired;
    }

    /**
     * Returns the rank of a request.
     *
     * @param host host of its route
     * @param path its path
     * @param account the client account that it runs for, empty if there is none
     * @return the rank, the highest if the route is unknown
     */
    public Rank of(String host, String path, Optional<AccountId> account) {
        return mDesired.get()
                .flatMap(d -> d.route(host, path).map(route -> of(d, route, account)))
                .orElse(UNKNOWN);
    }

    private static Rank of(DesiredState desired, FleetRoute route, Optional<AccountId> account) {
        return new Rank(account.map(desired::accountPriority).orElse(0), route.priority());
    }

    /**
     * Returns the urgency with which an engine should run work.
     *
     * @param service the service of the engine
     * @param rank rank of the work
     * @return 0 to 9, where 0 is the most urgent; empty if the service has no engines, or if all
     *     client accounts have the same priority. Routes alone name none: more urgent runs preempt
     *     others in the middle of their texts, which are then read and generated again elsewhere
     */
    public OptionalInt urgency(ServiceId service, Rank rank) {
        Optional<DesiredState> desired =
                mDesired.get()
                        .filter(d -> d.service(service).map(FleetService::isEngine).orElse(false))
                        .filter(DesiredState::ranksAccounts);
        if (desired.isEmpty()) {
            return OptionalInt.empty();
        }
        NavigableSet<Rank> ranks = ranks(desired.get(), service);
        int last = ranks.size() - 1;
        int position = ranks.headSet(rank).size();
        return OptionalInt.of(position * MAX_URGENCY / Math.max(MAX_URGENCY, last));
    }

    private static NavigableSet<Rank> ranks(DesiredState desired, ServiceId service) {
        NavigableSet<Rank> ranks = new TreeSet<>();
        for (FleetRoute route : desired.routes()) {
            if (route.shares().stream().anyMatch(share -> share.service().equals(service))) {
                desired.accountPriorities()
                        .forEach(priority -> ranks.add(new Rank(priority, route.priority())));
            }
        }
        return ranks;
    }
}
