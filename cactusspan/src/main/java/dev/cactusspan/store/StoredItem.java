package dev.cactusspan.store;

/**
 * An item of the key-value store.
 *
 * @param key the key
 * @param value the value
 * @param revision revision of its last change
 * @param lease the lease that it is bound to, zero for none
 */
public record StoredItem(String key, byte[] value, long revision, long lease) {}
