package dev.cactusspan.batch;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.BatchId;

/**
 * Who runs a batch; its key in the store fences what the owner appends.
 *
 * @param id the batch
 * @param account the client account of the batch
 * @param owner the process that runs it, empty if it was given up
 * @param isEnded true once the trainer has ended it
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
     * Returns this ownership under another owner.
     *
     * @param newOwner the owner
     * @return the ownership
     */
    public BatchOwnership withOwner(String newOwner) {
        return new BatchOwnership(id, account, newOwner, isEnded, submittedWallMs, total);
    }

    /**
     * Returns this ownership of a batch that has ended.
     *
     * @return the ownership
     */
    public BatchOwnership asEnded() {
        return new BatchOwnership(id, account, owner, true, submittedWallMs, total);
    }
}
