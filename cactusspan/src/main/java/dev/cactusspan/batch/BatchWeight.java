package dev.cactusspan.batch;

import java.util.List;
import java.util.Map;

/** Estimates the memory that batches take. */
public final class BatchWeight {
    /** Objects of an item and of its run: about 20 with their references, in bytes. */
    private static final long ITEM_BYTES = 600;

    /** Object and array of a text, beside its characters, in bytes. */
    private static final long TEXT_BYTES = 56;

    /** Entry of a map, in bytes. */
    private static final long ENTRY_BYTES = 48;

    /** Objects of a result, in bytes. */
    private static final long RESULT_BYTES = 120;

    private BatchWeight() {}

    /**
     * Estimates the memory of a batch.
     *
     * @param batch the batch
     * @return the bytes
     */
    public static long of(Batch batch) {
        return batch.items().stream().mapToLong(BatchWeight::of).sum();
    }

    /**
     * Estimates the memory of an item.
     *
     * @param item the item
     * @return the bytes
     */
    public static long of(BatchItem item) {
        long bytes = ITEM_BYTES + item.body().length;
        bytes += text(item.id().value()) + text(item.path()) + text(item.group());
        for (Map.Entry<String, String> header : item.headers().entrySet()) {
            bytes += ENTRY_BYTES + text(header.getKey()) + text(header.getValue());
        }
        bytes +=
                item.scorer()
                        .map(s -> text(s.id()) + text(s.host()) + text(s.path()) + s.body().length)
                        .orElse(0L);
        return bytes;
    }

    /**
     * Estimates the memory of results.
     *
     * @param results the results
     * @return the bytes
     */
    static long of(List<ItemResult> results) {
        long bytes = 0;
        for (ItemResult result : results) {
            bytes += RESULT_BYTES + text(result.text()) + text(result.score());
        }
        return bytes;
    }

    private static long text(String text) {
        return TEXT_BYTES + text.length();
    }
}
