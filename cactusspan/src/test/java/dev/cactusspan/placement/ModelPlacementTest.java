package dev.cactusspan.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.SoftwareVersion;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.WeightVersion;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the assignment of targets to models. */
final class ModelPlacementTest {
    private static final List<ModelId> MODELS =
            List.of(ModelId.of("m0"), ModelId.of("m1"), ModelId.of("m2"));

    private static TargetRecord target(String id, Map<ModelId, WeightVersion> versions) {
        return new TargetRecord(
                TargetId.of(id),
                ServiceId.of("lm"),
                SoftwareVersion.of("v1"),
                URI.create("http://10.0.0.1:80"),
                AvailabilityZoneId.of("a"),
                8,
                false,
                0,
                1,
                versions);
    }

    private static Map<ModelId, Integer> shares(List<ModelId> models, int targets) {
        Map<ModelId, Integer> shares = new HashMap<>();
        models.forEach(m -> shares.put(m, targets));
        return shares;
    }

    private static List<TargetRecord> fresh(int count) {
        List<TargetRecord> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Map<ModelId, WeightVersion> versions = new HashMap<>();
            MODELS.forEach(m -> versions.put(m, WeightVersion.of(1)));
            targets.add(target("t" + i, versions));
        }
        return targets;
    }

    private static Map<TargetId, Integer> modelCountByTarget(
            Map<ModelId, List<TargetRecord>> placement) {
        Map<TargetId, Integer> counts = new HashMap<>();
        placement
                .values()
                .forEach(targets -> targets.forEach(t -> counts.merge(t.id(), 1, Integer::sum)));
        return counts;
    }

    @Test
    void shouldDistributeTargetsEvenly() {
        Map<ModelId, List<TargetRecord>> placement =
                ModelPlacement.assign(shares(MODELS, 2), fresh(6));
        assertThat(modelCountByTarget(placement).values(), everyItem(is(1)));
        assertThat(modelCountByTarget(placement).size(), is(6));
    }

    @Test
    void shouldAssignAllTargetsToSingleModel() {
        Map<ModelId, List<TargetRecord>> placement =
                ModelPlacement.assign(Map.of(MODELS.get(0), 6), fresh(6));
        assertThat(placement.get(MODELS.get(0)).size(), is(6));
    }

    @Test
    void shouldKeepTheTargetsThatHoldTheNewestVersions() {
        List<TargetRecord> targets = fresh(6);
        targets.set(5, target("t5", Map.of(MODELS.get(0), WeightVersion.of(4))));
        targets.set(4, target("t4", Map.of(MODELS.get(0), WeightVersion.of(3))));
        Map<ModelId, List<TargetRecord>> placement =
                ModelPlacement.assign(shares(MODELS, 2), targets);
        assertThat(
                placement.get(MODELS.get(0)).stream().map(TargetRecord::id).toList(),
                is(List.of(TargetId.of("t5"), TargetId.of("t4"))));
    }

    @Test
    void shouldAssignTargetsByShare() {
        Map<ModelId, Integer> shares = Map.of(MODELS.get(0), 3, MODELS.get(1), 7, MODELS.get(2), 2);
        Map<ModelId, List<TargetRecord>> placement = ModelPlacement.assign(shares, fresh(12));
        shares.forEach((m, share) -> assertThat(placement.get(m).size(), is(share)));
        assertThat(modelCountByTarget(placement).values(), everyItem(is(1)));
        assertThat(modelCountByTarget(placement).size(), is(12));
    }

    /** Each other target gets every second version, and half of them get each version. */
    @Test
    void shouldSpillToOtherTargetsAtEveryOtherVersion() {
        List<TargetRecord> targets = fresh(8);
        List<TargetRecord> assigned = targets.subList(0, 2);
        ModelId model = MODELS.get(0);
        List<TargetRecord> even =
                ModelPlacement.spill(model, WeightVersion.of(4), assigned, targets);
        List<TargetRecord> odd =
                ModelPlacement.spill(model, WeightVersion.of(5), assigned, targets);
        assertThat(even.size(), is(3));
        assertThat(odd.size(), is(3));
        List<TargetRecord> all = new ArrayList<>(even);
        all.addAll(odd);
        assertThat(new HashSet<>(all), is(new HashSet<>(targets.subList(2, 8))));
        assertThat(ModelPlacement.spill(model, WeightVersion.of(6), assigned, targets), is(even));
    }

    @Test
    void shouldNotAssignAllModelsToNewTargetWithNewestVersions() {
        List<TargetRecord> targets = fresh(5);
        Map<ModelId, WeightVersion> newest = new HashMap<>();
        MODELS.forEach(m -> newest.put(m, WeightVersion.of(9)));
        targets.add(target("t9", newest));
        Map<ModelId, List<TargetRecord>> placement =
                ModelPlacement.assign(shares(MODELS, 2), targets);
        assertThat(modelCountByTarget(placement).values(), everyItem(is(1)));
        placement.values().forEach(assigned -> assertThat(assigned.size(), is(2)));
    }
}
