package dev.cactusspan.batch;

import java.util.List;

/**
 * A batch as loaded from the store.
 *
 * @param batch the batch as submitted
 * @param results its listed results, in order
 * @param progress progress of unfinished texts at the last save
 */
public record StoredBatch(Batch batch, List<ItemResult> results, List<ItemProgress> progress) {

    /**
     * Returns a newly submitted batch.
     *
     * @param batch the batch
     * @return the batch without results
     */
    static StoredBatch ofNew(Batch batch) {
        return new StoredBatch(batch, List.of(), List.of());
    }
}
