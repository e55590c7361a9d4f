package dev.cactusspan.duty;

import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.TargetId;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Shares targets out among the models that change: each model is kept current on its share of the
 * targets only, as loads take longer the more of them run. Nothing is remembered: the targets that
 * hold a model's newest versions are its home, and a vacancy goes to the target with the fewest
 * models.
 */
final class HomeTargets {
    /** A model is kept on this many targets at least, so that one may load or fail. */
    private static final int MIN_TARGETS = 2;

    private HomeTargets() {}

    /**
     * Assigns targets to models.
     *
     * @param models the models that change
     * @param targets the targets that hold them
     * @return the targets of each model
     */
    static Map<ModelId, List<TargetRecord>> assign(
            Collection<ModelId> models, List<TargetRecord> targets) {
        Map<ModelId, List<TargetRecord>> homes = new LinkedHashMap<>();
        Map<TargetId, Integer> taken = new HashMap<>();
        int share = (targets.size() + models.size() - 1) / Math.max(1, models.size());
        int count = Math.max(MIN_TARGETS, share);
        for (ModelId model : models.stream().sorted().toList()) {
            List<TargetRecord> home =
                    targets.stream()
                            .sorted(
                                    Comparator.comparing(
                                                    (TargetRecord t) -> t.version(model),
                                                    Comparator.reverseOrder())
                                            .thenComparing(t -> taken.getOrDefault(t.id(), 0))
                                            .thenComparing(TargetRecord::id))
                            .limit(count)
                            .toList();
            home.forEach(t -> taken.merge(t.id(), 1, Integer::sum));
            homes.put(model, home);
        }
        return homes;
    }
}
