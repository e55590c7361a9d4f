package dev.cactusspan.batch;

import java.util.List;

/**
 * A batch as it is stored.
 *
 * @param batch what was submitted
 * @param results its listed results, in order
 * @param progress texts that grew when they were last kept
 */
public record StoredBatch(Batch batch, List<ItemResult> results, List<ItemProgress> progress) {

    /**
     * Returns a batch that was just submitted.
     *
     * @param batch the batch
     * @return the batch without results
     */
    static StoredBatch ofNew(Batch batch) {
        return new StoredBatch(batch, List.of(), List.of());
    }
}
