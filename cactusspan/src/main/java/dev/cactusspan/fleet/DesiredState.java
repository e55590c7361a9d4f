package dev.cactusspan.fleet;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.region.Residency;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Immutable configuration of routes, services, client accounts and limits set by operators. */
public final class DesiredState {
    private final Revision mRevision;
    private final List<FleetRoute> mRoutes;
    private final Map<ServiceId, FleetService> mServices = new HashMap<>();
    private final Map<String, AccountId> mAccountByKey = new HashMap<>();
    private final Map<RouteId, Residency> mRouteResidency = new HashMap<>();
    private final Map<AccountId, Residency> mAccountResidency = new HashMap<>();
    private final Map<AccountId, Integer> mPriorityByAccount = new HashMap<>();
    private final boolean mHasBoundRequests;
    private final ClientLimits mLimits;
    private final boolean mHasAccounts;

    private DesiredState(
            Revision revision,
            List<FleetRoute> routes,
            List<FleetService> services,
            List<FleetAccount> accounts,
            ClientLimits limits) {
        mRevision = revision;
        mRoutes = List.copyOf(routes);
        services.forEach(s -> mServices.put(s.name(), s));
        accounts.forEach(a -> a.keys().forEach(key -> mAccountByKey.put(key, a.name())));
        routes.forEach(r -> mRouteResidency.merge(r.name(), r.residency(), Residency::and));
        accounts.forEach(a -> mAccountResidency.put(a.name(), a.residency()));
        accounts.forEach(a -> mPriorityByAccount.put(a.name(), a.priority()));
        mHasBoundRequests =
                mRouteResidency.values().stream().anyMatch(Residency::isBound)
                        || mAccountResidency.values().stream().anyMatch(Residency::isBound);
        mLimits = limits;
        mHasAccounts = !accounts.isEmpty();
    }

    /**
     * Creates a desired state.
     *
     * @param revision revision, which only increases
     * @param routes routes
     * @param services services
     * @param accounts client accounts; if there are none, no request needs a key
     * @param limits limits on client requests
     * @return the desired state
     */
    public static DesiredState of(
            Revision revision,
            List<FleetRoute> routes,
            List<FleetService> services,
            List<FleetAccount> accounts,
            ClientLimits limits) {
        return new DesiredState(revision, routes, services, accounts, limits);
    }

    /**
     * Finds the route of a request by host and longest matching path prefix.
     *
     * @param host host of the request
     * @param path path of the request
     * @return the route, empty if none matches
     */
    public Optional<FleetRoute> route(String host, String path) {
        FleetRoute best = null;
        for (FleetRoute route : mRoutes) {
            boolean isMatch = route.host().equals(host) && path.startsWith(route.prefix());
            boolean isLonger = best == null || route.prefix().length() > best.prefix().length();
            if (isMatch && isLonger) {
                best = route;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the routes whose streams may be resumed.
     *
     * @return the routes
     */
    public List<FleetRoute> resumableRoutes() {
        return mRoutes.stream().filter(FleetRoute::isResumable).toList();
    }

    /**
     * Finds the client account of an API key.
     *
     * @param key the API key
     * @return the account, empty if the key is unknown
     */
    public Optional<AccountId> account(String key) {
        return Optional.ofNullable(mAccountByKey.get(key));
    }

    /**
     * Returns the priority of a client account.
     *
     * @param account the account
     * @return its priority, where 0 is the highest; 0 if the account is unknown
     */
    public int accountPriority(AccountId account) {
        return mPriorityByAccount.getOrDefault(account, 0);
    }

    /**
     * Returns the priorities that client accounts have.
     *
     * @return each priority once, 0 among them
     */
    public Set<Integer> accountPriorities() {
        Set<Integer> priorities = new HashSet<>(mPriorityByAccount.values());
        priorities.add(0);
        return priorities;
    }

    /**
     * Tells whether some client accounts have a higher priority than others.
     *
     * @return false if all have the same, whatever it is
     */
    public boolean ranksAccounts() {
        return new HashSet<>(mPriorityByAccount.values()).size() > 1;
    }

    /**
     * Returns all routes.
     *
     * @return the routes
     */
    public List<FleetRoute> routes() {
        return mRoutes;
    }

    /**
     * Finds a service by name.
     *
     * @param name name of the service
     * @return the service, empty if there is none of that name
     */
    public Optional<FleetService> service(ServiceId name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /**
     * Returns the services.
     *
     * @return all services
     */
    public List<FleetService> services() {
        return List.copyOf(mServices.values());
    }

    /**
     * Returns whether the engines of a service serve a model.
     *
     * @param service the service
     * @param model the model
     * @return true if the service has the model
     */
    public boolean servesModel(ServiceId service, ModelId model) {
        return service(service).map(s -> s.models().contains(model)).orElse(false);
    }

    /**
     * Returns the regions to which a route binds its requests.
     *
     * @param route name of the route
     * @return the residency, empty if there is no such route
     */
    public Optional<Residency> residency(RouteId route) {
        return Optional.ofNullable(mRouteResidency.get(route));
    }

    /**
     * Returns the regions to which a client account binds its requests.
     *
     * @param account the account
     * @return the residency
     */
    public Residency residency(AccountId account) {
        return mAccountResidency.getOrDefault(account, Residency.ANYWHERE);
    }

    /**
     * Returns whether any route or client account is bound to regions.
     *
     * @return true if one is
     */
    public boolean hasBoundRequests() {
        return mHasBoundRequests;
    }

    /**
     * Returns the revision.
     *
     * @return the revision
     */
    public Revision revision() {
        return mRevision;
    }

    /**
     * Returns whether requests on routes that are not open need a key.
     *
     * @return true if there are client accounts
     */
    public boolean hasAccounts() {
        return mHasAccounts;
    }

    /**
     * Returns the limits on client requests.
     *
     * @return the limits
     */
    public ClientLimits limits() {
        return mLimits;
    }
}
