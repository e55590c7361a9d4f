package dev.cactusspan.batch;

/**
 * What the store says of a batch's owner.
 *
 * @param ownership the ownership
 * @param revision revision of the owner's key
 */
public record KnownOwnership(BatchOwnership ownership, long revision) {}
