package dev.cactusspan.batch;

import dev.cactusspan.id.BatchId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The last known owners of batches. Load pattern: batches come and end all day, and what is known
 * of ended ones would fill the memory. Of these only the latest are kept; any other is read from
 * the store again.
 */
final class KnownBatches {
    /**
     * Number of ended batches that are kept: a minute of the busiest hour, at a few hundred bytes
     * each.
     */
    static final int MAX_ENDED = 256;

    private final Map<BatchId, KnownOwnership> mOpen = new HashMap<>();
    private final Map<BatchId, KnownOwnership> mEnded =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<BatchId, KnownOwnership> eldest) {
                    return size() > MAX_ENDED;
                }
            };

    // Operations

    /** Replaces what is known of a batch. */
    void put(BatchId id, KnownOwnership known) {
        remove(id);
        (known.ownership().isEnded() ? mEnded : mOpen).put(id, known);
    }

    void remove(BatchId id) {
        mOpen.remove(id);
        mEnded.remove(id);
    }

    // Accessors

    Optional<KnownOwnership> find(BatchId id) {
        return Optional.ofNullable(mOpen.get(id)).or(() -> Optional.ofNullable(mEnded.get(id)));
    }

    /** Returns the batches that have not been ended. */
    List<KnownOwnership> open() {
        return List.copyOf(mOpen.values());
    }

    int size() {
        return mOpen.size() + mEnded.size();
    }
}
