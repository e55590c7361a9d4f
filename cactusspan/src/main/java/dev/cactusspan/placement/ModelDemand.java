package dev.cactusspan.placement;

import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ModelId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The work that a batch of each model asks for, in tokens, averaged over its recent batches. It
 * does not depend on how often batches arrive: a trainer whose results are late asks for its next
 * batch later, and must not lose targets for it.
 */
public final class ModelDemand {
    /** Weight of the newest batch in the mean. */
    private static final double NEWEST_WEIGHT = 0.3;

    /** Time without a batch after which a model has no demand, in milliseconds. */
    private static final long IDLE_MS = 120_000;

    private static final int MAX_BATCHES = 1_024;

    private final Map<BatchId, Boolean> mSeen = new LinkedHashMap<>();
    private final Map<ModelId, Mean> mMeans = new HashMap<>();

    /** Mean tokens of a batch and the time of the latest batch. */
    private record Mean(double tokens, long latestMs) {}

    /**
     * Counts a batch once.
     *
     * @param batch the batch
     * @param model its model
     * @param tokens expected length of all its texts
     * @param nowMs monotonic clock in milliseconds
     */
    public void add(BatchId batch, ModelId model, long tokens, long nowMs) {
        if (mSeen.putIfAbsent(batch, true) != null) {
            return;
        }
        if (mSeen.size() > MAX_BATCHES) {
            mSeen.remove(mSeen.keySet().iterator().next());
        }
        double before = tokens(model, nowMs);
        double mean = before == 0 ? tokens : before + NEWEST_WEIGHT * (tokens - before);
        mMeans.put(model, new Mean(mean, nowMs));
    }

    /**
     * Returns the work that a batch of a model asks for.
     *
     * @param model the model
     * @param nowMs monotonic clock in milliseconds
     * @return tokens, zero if it had no batch for some time
     */
    public double tokens(ModelId model, long nowMs) {
        Mean mean = mMeans.get(model);
        return mean == null || nowMs - mean.latestMs() > IDLE_MS ? 0 : mean.tokens();
    }
}
