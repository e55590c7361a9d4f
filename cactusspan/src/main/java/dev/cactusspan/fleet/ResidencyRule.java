package dev.cactusspan.fleet;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.region.Residency;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Decides to which regions a request is bound. The desired state in force at the moment of a
 * decision binds, not the one under which the request came: a request or an item that waits follows
 * a change of its route or account. Load pattern: the regions of a route change while its requests
 * wait and its batches run.
 */
public final class ResidencyRule {
    private final Supplier<Optional<DesiredState>> mDesired;

    /**
     * Creates the rule.
     *
     * @param desired supplies the desired state in force
     */
    public ResidencyRule(Supplier<Optional<DesiredState>> desired) {
        mDesired = desired;
    }

    /**
     * Returns the residency of a request.
     *
     * @param route its route as it was when the request came
     * @param account the client account that it runs for
     * @return the residency now
     */
    public Residency of(FleetRoute route, Optional<AccountId> account) {
        return mDesired.get()
                .map(d -> of(d, route.name(), account, route.residency()))
                .orElse(route.residency());
    }

    /**
     * Returns the residency of a batch.
     *
     * @param route its route
     * @param account the client account that it runs for
     * @param accepted its residency when it was accepted, which binds if its route is gone
     * @return the residency now
     */
    public Residency of(RouteId route, AccountId account, Residency accepted) {
        return mDesired.get()
                .map(d -> of(d, route, Optional.of(account), accepted))
                .orElse(accepted);
    }

    private static Residency of(
            DesiredState desired, RouteId route, Optional<AccountId> account, Residency former) {
        if (!desired.hasBoundRequests() && !former.isBound()) {
            return Residency.ANYWHERE;
        }
        Residency ofRoute = desired.residency(route).orElse(former);
        return account.map(desired::residency).orElse(Residency.ANYWHERE).and(ofRoute);
    }
}
