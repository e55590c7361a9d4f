package dev.cactusspan.placement;

import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.WeightVersion;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns targets to the models whose weights change. Each model is kept up to date on its share of
 * the targets only, because weight loads slow each other down. The assignment is stateless: targets
 * that hold the newest versions of a model are preferred for it, up to the number of models per
 * target that the shares require.
 */
public final class ModelPlacement {
    private ModelPlacement() {}

    /**
     * Assigns targets to models.
     *
     * @param shares how many targets each model gets
     * @param unsorted the targets that hold the models
     * @return the assigned targets of each model
     */
    public static Map<ModelId, List<TargetRecord>> assign(
            Map<ModelId, Integer> shares, List<TargetRecord> unsorted) {
        List<TargetRecord> targets =
                unsorted.stream().sorted(Comparator.comparing(TargetRecord::id)).toList();
        Map<ModelId, List<TargetRecord>> placement = new LinkedHashMap<>();
        List<ModelId> sorted = shares.keySet().stream().sorted().toList();
        sorted.forEach(model -> placement.put(model, new ArrayList<>()));
        int assignments = shares.values().stream().mapToInt(Integer::intValue).sum();
        int maxModelsPerTarget = (assignments + targets.size() - 1) / Math.max(1, targets.size());
        Map<TargetId, Integer> modelCountByTarget = new HashMap<>();
        for (Candidate candidate : candidates(sorted, targets)) {
            List<TargetRecord> assigned = placement.get(candidate.model());
            boolean hasCapacity =
                    assigned.size() < shares.get(candidate.model())
                            && modelCountByTarget.getOrDefault(candidate.target().id(), 0)
                                    < maxModelsPerTarget;
            if (hasCapacity) {
                assigned.add(candidate.target());
                modelCountByTarget.merge(candidate.target().id(), 1, Integer::sum);
            }
        }
        return placement;
    }

    /**
     * Selects targets of other models that should be updated for a model besides its own. Load
     * pattern: a step has more items than its model's targets have slots, while the targets of a
     * model with shorter texts are idle for most of the time. As a target that is one version
     * behind still serves, each of them is updated at every other version only: those at even
     * positions at even versions, so that half of them serve at any time.
     *
     * @param model the model
     * @param version its desired version
     * @param assigned its own targets
     * @param unsorted the targets that hold the models
     * @return the targets that should be updated for this version
     */
    public static List<TargetRecord> spill(
            ModelId model,
            WeightVersion version,
            List<TargetRecord> assigned,
            List<TargetRecord> unsorted) {
        List<TargetRecord> others =
                unsorted.stream()
                        .filter(t -> !assigned.contains(t))
                        .sorted(Comparator.comparing(TargetRecord::id))
                        .toList();
        List<TargetRecord> selected = new ArrayList<>();
        for (int i = 0; i < others.size(); i++) {
            if ((i + version.number()) % 2 == 0) {
                selected.add(others.get(i));
            }
        }
        return selected;
    }

    /**
     * A target that may be assigned to a model, with the number of versions that it is behind the
     * newest one.
     */
    private record Candidate(ModelId model, TargetRecord target, long versionsBehind) {}

    private static List<Candidate> candidates(List<ModelId> models, List<TargetRecord> targets) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < targets.size(); i++) {
            for (int m = 0; m < models.size(); m++) {
                ModelId model = models.get(m);
                // Start at a different target for each model, so that the models do not all compete
                // for the same of several equal targets and leave others without a model.
                TargetRecord target =
                        targets.get((i + m * targets.size() / models.size()) % targets.size());
                long newest =
                        targets.stream().mapToLong(t -> t.version(model).number()).max().orElse(0);
                candidates.add(
                        new Candidate(model, target, newest - target.version(model).number()));
            }
        }
        candidates.sort(Comparator.comparingLong(Candidate::versionsBehind));
        return candidates;
    }
}
