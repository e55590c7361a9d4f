package dev.cactusspan.batch;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.region.Residency;

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
 * @param model its model, empty if unknown
 * @param expectedTokens expected length of all its texts in tokens, zero if unknown
 * @param route the route through which it was submitted, empty if unknown
 * @param residency regions to which it was bound when it was accepted
 */
public record BatchOwnership(
        BatchId id,
        AccountId account,
        String owner,
        boolean isEnded,
        long submittedWallMs,
        int total,
        ModelId model,
        long expectedTokens,
        RouteId route,
        Residency residency) {

    /** Fills in what records of earlier releases do not name. */
    public BatchOwnership {
        model = model == null ? ModelId.of("") : model;
        route = route == null ? RouteId.of("") : route;
        residency = residency == null ? Residency.ANYWHERE : residency;
    }

    /**
     * Returns the ownership of a new batch.
     *
     * @param batch the batch
     * @param owner the process that runs it
     * @return the ownership
     */
    static BatchOwnership of(Batch batch, String owner) {
        return new BatchOwnership(
                batch.id(),
                batch.account(),
                owner,
                false,
                batch.submittedWallMs(),
                batch.items().size(),
                batch.model(),
                batch.items().stream().mapToLong(BatchItem::expectedTokens).sum(),
                batch.route(),
                batch.residency());
    }

    /**
     * Tells whether a process owns the batch and the trainer has not ended it.
     *
     * @param process the process
     * @return true if it should run the batch
     */
    public boolean isOpenAt(String process) {
        return owner.equals(process) && !isEnded;
    }

    /**
     * Returns this ownership with another owner.
     *
     * @param newOwner the new owner
     * @return the ownership
     */
    public BatchOwnership withOwner(String newOwner) {
        return new BatchOwnership(
                id,
                account,
                newOwner,
                isEnded,
                submittedWallMs,
                total,
                model,
                expectedTokens,
                route,
                residency);
    }

    /**
     * Returns this ownership with the batch marked as ended.
     *
     * @return the ownership
     */
    public BatchOwnership asEnded() {
        return new BatchOwnership(
                id,
                account,
                owner,
                true,
                submittedWallMs,
                total,
                model,
                expectedTokens,
                route,
                residency);
    }
}
