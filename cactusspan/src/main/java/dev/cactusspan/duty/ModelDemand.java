package dev.cactusspan.duty;

import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ModelId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The work that the recent batches of each model asked for, in tokens. Older batches count less and
 * less.
 */
final class ModelDemand {
    /** Time after which a batch counts half, in milliseconds: a few steps of a trainer. */
    private static final double HALF_LIFE_MS = 15_000;

    private static final int MAX_BATCHES = 1_024;

    private final Map<BatchId, Boolean> mSeen = new LinkedHashMap<>();
    private final Map<ModelId, Sum> mSums = new HashMap<>();

    /** Tokens as of a time. */
    private record Sum(double tokens, long asOfMs) {
        double at(long nowMs) {
            return tokens * Math.pow(0.5, (nowMs - asOfMs) / HALF_LIFE_MS);
        }
    }

    /**
     * Counts a batch once.
     *
     * @param batch the batch
     * @param model its model
     * @param tokens expected length of all its texts
     * @param nowMs monotonic clock in milliseconds
     */
    void add(BatchId batch, ModelId model, long tokens, long nowMs) {
        if (mSeen.putIfAbsent(batch, true) != null) {
            return;
        }
        if (mSeen.size() > MAX_BATCHES) {
            mSeen.remove(mSeen.keySet().iterator().next());
        }
        mSums.put(model, new Sum(tokens(model, nowMs) + tokens, nowMs));
    }

    /**
     * Returns the work that a model's recent batches asked for.
     *
     * @param model the model
     * @param nowMs monotonic clock in milliseconds
     * @return tokens, zero if it had no batch
     */
    double tokens(ModelId model, long nowMs) {
        Sum sum = mSums.get(model);
        return sum == null ? 0 : sum.at(nowMs);
    }
}
