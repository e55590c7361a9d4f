package dev.cactusspan.batch;

/**
 * The last known ownership of a batch, with its revision in the store.
 *
 * @param ownership the ownership
 * @param revision revision of the owner key
 */
public record KnownOwnership(BatchOwnership ownership, long revision) {}
