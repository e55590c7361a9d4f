package dev.cactusspan.platform;

import dev.cactusspan.result.Result;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service. Futures always complete with a result. {@code conflict} means
 * that a write took no effect; after {@code platform_unavailable} its effect is unknown.
 */
public interface KeyValueService {

    /**
     * Reads a key.
     *
     * @param key the key
     * @return the entry, empty if the key does not exist
     */
    CompletableFuture<Result<Optional<Entry>>> get(String key);

    /**
     * Waits until a key has a version above the given one.
     *
     * @param key the key
     * @param afterVersion the version that the caller has, zero for none
     * @param waitMs how long to wait at most
     * @return the entry, empty if there was no newer version in time
     */
    CompletableFuture<Result<Optional<Entry>>> watch(String key, long afterVersion, long waitMs);

    /**
     * Writes a key if its version is the expected one.
     *
     * @param key the key
     * @param expectedVersion the version to replace, zero to create
     * @param value the new value, at most 1 MB
     * @return the new version, or {@code conflict}
     */
    CompletableFuture<Result<Long>> compareAndSwap(String key, long expectedVersion, byte[] value);

    /**
     * A key's value.
     *
     * @param version incremented by each write
     * @param value the value
     */
    record Entry(long version, byte[] value) {}
}
