package dev.cactusspan.limit;

import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.id.AccountId;

/**
 * A request that waits at a target.
 *
 * @param account the client account
 * @param requestClass class of the request
 * @param weight share of the account
 * @param deadlineMs time at which it is of no more use, on the queue's clock
 * @param item what waits
 * @param <T> type of what waits
 */
public record QueuedItem<T>(
        AccountId account, RequestClass requestClass, int weight, long deadlineMs, T item) {}
