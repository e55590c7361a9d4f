package dev.cactusspan.limit;

import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.id.AccountId;

/**
 * A request queued at a target.
 *
 * @param account the client account
 * @param requestClass class of the request
 * @param weight fair-queueing weight of the account
 * @param deadlineMs deadline after which the request is useless, on the queue's clock
 * @param item the queued item
 * @param <T> type of the queued item
 */
public record QueuedItem<T>(
        AccountId account, RequestClass requestClass, int weight, long deadlineMs, T item) {}
