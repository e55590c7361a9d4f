package dev.cactusspan.fleet;

import dev.cactusspan.id.AccountId;
import java.util.Set;

/**
 * A client account of the desired state.
 *
 * @param name name of the account
 * @param priority priority, where 0 is the highest
 * @param keys valid API keys of the account
 */
public record FleetAccount(AccountId name, int priority, Set<String> keys) {}
