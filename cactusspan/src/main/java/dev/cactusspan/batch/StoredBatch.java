package dev.cactusspan.batch;

import java.util.List;

/**
 * A batch as the store has it.
 *
 * @param batch what was submitted
 * @param results results in order of their positions
 */
public record StoredBatch(Batch batch, List<ItemResult> results) {}
