package dev.cactusspan.duty;

import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Shares targets out among the models that change: each model is kept current on its share of the
 * targets only, as loads take longer the more of them run. Nothing is remembered: the targets that
 * hold a model's newest versions are its home, as long as none is home to more models than others
 * must be.
 */
final class ModelPlacement {
    /** A model is kept on this many targets at least, so that one may load or fail. */
    private static final int MIN_TARGETS = 2;

    private ModelPlacement() {}

    /**
     * Assigns targets to models.
     *
     * @param models the models that change
     * @param unsorted the targets that hold them
     * @return the targets of each model
     */
    static Map<ModelId, List<TargetRecord>> assign(
            Collection<ModelId> models, List<TargetRecord> unsorted) {
        List<TargetRecord> targets =
                unsorted.stream().sorted(Comparator.comparing(TargetRecord::id)).toList();
        Map<ModelId, List<TargetRecord>> placement = new LinkedHashMap<>();
        List<ModelId> sorted = models.stream().sorted().toList();
        sorted.forEach(model -> placement.put(model, new ArrayList<>()));
        int share = (targets.size() + models.size() - 1) / Math.max(1, models.size());
        int targetsPerModel = Math.min(targets.size(), Math.max(MIN_TARGETS, share));
        int maxModelsPerTarget =
                (targetsPerModel * models.size() + targets.size() - 1)
                        / Math.max(1, targets.size());
        Map<TargetId, Integer> modelCountByTarget = new HashMap<>();
        for (Candidate candidate : candidates(sorted, targets)) {
            List<TargetRecord> assigned = placement.get(candidate.model());
            boolean hasCapacity =
                    assigned.size() < targetsPerModel
                            && modelCountByTarget.getOrDefault(candidate.target().id(), 0)
                                    < maxModelsPerTarget;
            if (hasCapacity) {
                assigned.add(candidate.target());
                modelCountByTarget.merge(candidate.target().id(), 1, Integer::sum);
            }
        }
        return placement;
    }

    /** A target that may be home to a model, and how many versions it is behind the others. */
    private record Candidate(ModelId model, TargetRecord target, long versionsBehind) {}

    private static List<Candidate> candidates(List<ModelId> models, List<TargetRecord> targets) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < targets.size(); i++) {
            for (int m = 0; m < models.size(); m++) {
                ModelId model = models.get(m);
                // Equal targets begin with different models, so that none is left for all of them.
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
