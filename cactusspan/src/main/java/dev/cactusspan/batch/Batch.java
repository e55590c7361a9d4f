package dev.cactusspan.batch;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.region.Residency;
import java.util.List;

/**
 * A batch of items as submitted by its trainer.
 *
 * @param id its id
 * @param account the client account that it is run for
 * @param route the route through which it was submitted
 * @param host host of the route
 * @param service the service whose targets run its items
 * @param step the trainer's step
 * @param model the model
 * @param minVersion the oldest weight version that may generate its texts
 * @param wantedGroups how many complete groups the trainer waits for
 * @param maxAttempts failed attempts after which an item is abandoned
 * @param isSingleVersion true if a single version must generate a complete text
 * @param submittedWallMs when it was accepted, milliseconds of the wall clock
 * @param dueMs how long after acceptance its results are due
 * @param retentionMs how long after acceptance its items may be abandoned
 * @param items its items
 * @param residency regions to which it was bound when it was accepted
 */
public record Batch(
        BatchId id,
        AccountId account,
        RouteId route,
        String host,
        ServiceId service,
        long step,
        ModelId model,
        WeightVersion minVersion,
        int wantedGroups,
        int maxAttempts,
        boolean isSingleVersion,
        long submittedWallMs,
        long dueMs,
        long retentionMs,
        List<BatchItem> items,
        Residency residency) {
    /** Fills in the residency that records of earlier releases do not name. */
    public Batch {
        residency = residency == null ? Residency.ANYWHERE : residency;
    }

    /** Creates a batch that is bound to no region. */
    public Batch(
            BatchId id,
            AccountId account,
            RouteId route,
            String host,
            ServiceId service,
            long step,
            ModelId model,
            WeightVersion minVersion,
            int wantedGroups,
            int maxAttempts,
            boolean isSingleVersion,
            long submittedWallMs,
            long dueMs,
            long retentionMs,
            List<BatchItem> items) {
        this(
                id,
                account,
                route,
                host,
                service,
                step,
                model,
                minVersion,
                wantedGroups,
                maxAttempts,
                isSingleVersion,
                submittedWallMs,
                dueMs,
                retentionMs,
                items,
                Residency.ANYWHERE);
    }

    /**
     * Returns this batch, bound to regions.
     *
     * @param bound the regions
     * @return the batch
     */
    public Batch withResidency(Residency bound) {
        return new Batch(
                id,
                account,
                route,
                host,
                service,
                step,
                model,
                minVersion,
                wantedGroups,
                maxAttempts,
                isSingleVersion,
                submittedWallMs,
                dueMs,
                retentionMs,
                items,
                bound);
    }
}
