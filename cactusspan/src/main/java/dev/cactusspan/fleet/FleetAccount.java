package dev.cactusspan.fleet;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.region.Residency;
import java.util.Set;

/**
 * A client account of the desired state.
 *
 * @param name name of the account
 * @param priority priority, where 0 is the highest
 * @param keys valid API keys of the account
 * @param residency regions to which its requests are bound
 */
public record FleetAccount(AccountId name, int priority, Set<String> keys, Residency residency) {
    /** Creates an account of the highest priority whose requests are bound to no region. */
    public FleetAccount(AccountId name, Set<String> keys) {
        this(name, 0, keys, Residency.ANYWHERE);
    }
}
