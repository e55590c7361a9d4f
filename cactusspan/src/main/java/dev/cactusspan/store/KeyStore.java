package dev.cactusspan.store;

import dev.cactusspan.region.Residency;
import dev.cactusspan.result.Result;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A linearizable key-value store with one revision counter. Futures always complete with a result.
 * {@code conflict} and {@code platform_unavailable} mean that a change took no effect. After an
 * {@code outcome_unknown} it may have taken effect, or may still do so seconds later.
 */
public interface KeyStore {

    /**
     * Returns whether this process reaches the store itself. Otherwise calls may still succeed
     * through another process, but a watch would hang.
     *
     * @return false after a failed call until one succeeds
     */
    default boolean isDirect() {
        return true;
    }

    /**
     * Returns this store for calls that carry the body of a request. They pass through no process
     * outside the regions to which the request is bound.
     *
     * @param residency these regions
     * @return the store
     */
    default KeyStore within(Residency residency) {
        return this;
    }

    /**
     * Reads a key.
     *
     * @param key the key
     * @return the item, empty if the key does not exist
     */
    CompletableFuture<Result<Optional<StoredItem>>> get(String key);

    /**
     * Reads one page of the keys with a prefix. Pages are not a snapshot.
     *
     * @param prefix the prefix
     * @param after the last key of the previous page, empty for the first page
     * @return the page
     */
    CompletableFuture<Result<Page>> range(String prefix, String after);

    /**
     * Waits for changes of keys with a prefix.
     *
     * @param prefix the prefix
     * @param afterRevision the revision up to which changes are known
     * @param waitMs how long to wait at most
     * @return the changes; {@code conflict} if the store no longer has that history
     */
    CompletableFuture<Result<Changes>> watch(String prefix, long afterRevision, long waitMs);

    /**
     * Applies a transaction atomically.
     *
     * @param transaction the transaction
     * @return the revision of the change; {@code conflict} if an expectation failed, {@code
     *     not_found} if a lease has ended
     */
    CompletableFuture<Result<Long>> commit(Transaction transaction);

    /**
     * Grants a lease.
     *
     * @param ttlMs how long it lasts without renewal
     * @return its number
     */
    CompletableFuture<Result<Long>> grantLease(long ttlMs);

    /**
     * Renews a lease.
     *
     * @param lease its number
     * @return its remaining time from the arrival of the call, in milliseconds; {@code not_found}
     *     if it has ended
     */
    CompletableFuture<Result<Long>> renewLease(long lease);

    /**
     * Ends a lease; its keys are removed.
     *
     * @param lease its number
     * @return true if it was ended
     */
    CompletableFuture<Result<Boolean>> endLease(long lease);

    /**
     * One page of keys.
     *
     * @param items the items in order of their keys
     * @param hasMore true if another page follows
     * @param asOf revision of the store when the page was read
     */
    record Page(List<StoredItem> items, boolean hasMore, long asOf) {}

    /**
     * Changes since a revision.
     *
     * @param changes the changes in order
     * @param asOf revision to continue from
     */
    record Changes(List<Change> changes, long asOf) {}

    /**
     * One change.
     *
     * @param key the key
     * @param item the written item, empty for a removal
     * @param revision revision of the change
     */
    record Change(String key, Optional<StoredItem> item, long revision) {}
}
