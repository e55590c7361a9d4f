package dev.cactusspan.batch;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.WeightVersion;
import java.util.List;

/**
 * A batch as its trainer submitted it.
 *
 * @param id its id
 * @param account the client account that it runs for
 * @param route the route that it came through
 * @param host host of the route
 * @param service the service whose targets run its items
 * @param step the trainer's step
 * @param model the model
 * @param minVersion the oldest weight version that may produce its texts
 * @param wantedGroups how many whole groups the trainer waits for
 * @param maxAttempts failed runs after which an item is given up
 * @param isSingleVersion true if one version must produce a whole text
 * @param submittedWallMs when it was accepted, milliseconds of the wall clock
 * @param dueMs its results are due this long after it was accepted
 * @param retentionMs its items may be given up this long after it was accepted
 * @param items its items
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
        List<BatchItem> items) {}
