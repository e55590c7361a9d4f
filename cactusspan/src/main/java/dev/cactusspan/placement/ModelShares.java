package dev.cactusspan.placement;

import dev.cactusspan.id.ModelId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Divides the targets among the models by demand. Load pattern: the texts of one trainer are
 * several times as long as those of another, and each trainer sends all items of a step at once;
 * with equal shares the long texts queue while the other model's targets are idle.
 *
 * <p>Shares are proportional to the square root of the demand, which minimizes the mean waiting
 * time over all models for a given number of targets. As each change of a target's model costs a
 * load of weights, shares are kept until one of them is off by more than a target.
 */
public final class ModelShares {
    /** Minimum number of targets per model, so that one of them may load or fail. */
    private static final int MIN_TARGETS = 2;

    /** How far a share may be off before all shares change, in targets. */
    private static final double MAX_DEVIATION = 1.5;

    /** Ratio of demands beyond which a model's share is not reduced further. */
    private static final double MAX_DEMAND_RATIO = 16;

    private Map<ModelId, Integer> mShares = new LinkedHashMap<>();

    /**
     * Returns the number of targets of each model.
     *
     * @param models the models
     * @param targets number of targets
     * @param demand the demand of a model, zero if unknown
     * @return number of targets by model; all of them together unless there are too few targets
     */
    public Map<ModelId, Integer> update(
            Collection<ModelId> models, int targets, ToDoubleFunction<ModelId> demand) {
        List<ModelId> sorted = models.stream().sorted().toList();
        Map<ModelId, Double> ideal = ideal(sorted, targets, demand);
        boolean isCurrent =
                new HashSet<>(sorted).equals(mShares.keySet())
                        && mShares.values().stream().mapToInt(Integer::intValue).sum() == targets
                        && sorted.stream()
                                .allMatch(
                                        m ->
                                                Math.abs(ideal.get(m) - mShares.get(m))
                                                        <= MAX_DEVIATION);
        if (!isCurrent) {
            mShares = round(sorted, targets, ideal);
        }
        return mShares;
    }

    private static Map<ModelId, Double> ideal(
            List<ModelId> models, int targets, ToDoubleFunction<ModelId> demand) {
        Map<ModelId, Double> weights = new HashMap<>();
        double largest = models.stream().mapToDouble(demand).max().orElse(0);
        double smallest = Math.max(1, largest / MAX_DEMAND_RATIO);
        boolean isKnown = models.stream().allMatch(m -> demand.applyAsDouble(m) > 0);
        for (ModelId model : models) {
            double tokens = isKnown ? Math.max(smallest, demand.applyAsDouble(model)) : 1;
            weights.put(model, Math.sqrt(tokens));
        }
        double sum = weights.values().stream().mapToDouble(Double::doubleValue).sum();
        weights.replaceAll((model, weight) -> Math.max(MIN_TARGETS, targets * weight / sum));
        return weights;
    }

    /** Rounds down, and gives the remaining targets to the models that lost most. */
    private static Map<ModelId, Integer> round(
            List<ModelId> models, int targets, Map<ModelId, Double> ideal) {
        Map<ModelId, Integer> shares = new LinkedHashMap<>();
        models.forEach(m -> shares.put(m, Math.min(targets, ideal.get(m).intValue())));
        int rest = targets - shares.values().stream().mapToInt(Integer::intValue).sum();
        List<ModelId> byLoss = new ArrayList<>(models);
        byLoss.sort(Comparator.comparingDouble(m -> shares.get(m) - ideal.get(m)));
        for (int i = 0; i < rest; i++) {
            shares.merge(byLoss.get(i % byLoss.size()), 1, Integer::sum);
        }
        for (int i = byLoss.size() - 1; i >= 0 && rest < 0; i--) {
            ModelId model = byLoss.get(i);
            int surplus = Math.min(-rest, Math.max(0, shares.get(model) - MIN_TARGETS));
            shares.merge(model, -surplus, Integer::sum);
            rest += surplus;
        }
        return shares;
    }
}
