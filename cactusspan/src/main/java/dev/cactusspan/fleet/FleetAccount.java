package dev.cactusspan.fleet;

import dev.cactusspan.id.AccountId;
import java.util.Set;

/**
 * A client account of the desired state.
 *
 * @param name name of the account
 * @param keys valid API keys of the account
 */
public record FleetAccount(AccountId name, Set<String> keys) {}
