package dev.cactusspan.batch;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.BatchId;

/**
 * The ownership of a batch. Appends expect its key in the store unchanged, which fences former
 * owners.
 *
 * @param id the batch
 * @param account the client account of the batch
 * @param owner the process that runs it, empty if it was abandoned
 * @param isEnded true after the trainer has ended it
 * @param submittedWallMs when it was accepted, milliseconds of the wall clock
 * @param total how many items it has
 */
public record BatchOwnership(
        BatchId id,
        AccountId account,
        String owner,
        boolean isEnded,
        long submittedWallMs,
        int total) {

    /**
     * Returns this ownership with another owner.
     *
     * @param newOwner the new owner
     * @return the ownership
     */
    public BatchOwnership withOwner(String newOwner) {
        return new BatchOwnership(id, account, newOwner, isEnded, submittedWallMs, total);
    }

    /**
     * Returns this ownership with the batch marked as ended.
     *
     * @return the ownership
     */
    public BatchOwnership asEnded() {
        return new BatchOwnership(id, account, owner, true, submittedWallMs, total);
    }
}
