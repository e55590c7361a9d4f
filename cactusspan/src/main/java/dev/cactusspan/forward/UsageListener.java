package dev.cactusspan.forward;

import dev.cactusspan.id.AccountId;

/** Counts the requests that start to run, by client account. */
public interface UsageListener {

    /**
     * Counts a request that is sent to its first target now.
     *
     * @param account the client account
     * @return takes the request back, to be run if it turns out that no target has run it
     */
    Runnable onStarted(AccountId account);
}
