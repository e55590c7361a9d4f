package dev.cactusspan.fleet;

import dev.cactusspan.id.AccountId;
import java.util.Set;

/**
 * A client account of the desired state.
 *
 * @param name its name
 * @param keys the keys that are in force
 */
public record FleetAccount(AccountId name, Set<String> keys) {}
