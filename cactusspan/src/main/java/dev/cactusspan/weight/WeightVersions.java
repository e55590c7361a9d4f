package dev.cactusspan.weight;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.WeightVersion;
import java.util.Map;
import java.util.TreeMap;

/**
 * Desired weight versions of each model of an environment. Versions only increase.
 *
 * @param models desired versions by model
 */
public record WeightVersions(Map<ServiceId, DesiredVersions> models) {

    /** Weight versions without any model. */
    public static final WeightVersions EMPTY = new WeightVersions(Map.of());

    /** Replaces an absent map with an empty one. */
    @JsonCreator
    public WeightVersions(@JsonProperty("models") Map<ServiceId, DesiredVersions> models) {
        this.models = models == null ? Map.of() : new TreeMap<>(models);
    }

    /**
     * Returns the desired versions of a model.
     *
     * @param model the model
     * @return the versions, zero if none has been published
     */
    public DesiredVersions desired(ServiceId model) {
        return models.getOrDefault(model, DesiredVersions.NONE);
    }

    /**
     * Returns a copy with raised versions of a model; lower versions have no effect.
     *
     * @param model the model
     * @param staged version to load in advance
     * @param active version to serve
     * @return the copy
     */
    public WeightVersions raise(ServiceId model, WeightVersion staged, WeightVersion active) {
        DesiredVersions current = desired(model);
        WeightVersion newActive = active.isAfter(current.active()) ? active : current.active();
        WeightVersion highest = staged.isAfter(newActive) ? staged : newActive;
        WeightVersion newStaged = highest.isAfter(current.staged()) ? highest : current.staged();
        Map<ServiceId, DesiredVersions> raised = new TreeMap<>(models);
        raised.put(model, new DesiredVersions(newStaged, newActive));
        return new WeightVersions(raised);
    }

    /**
     * Desired versions of one model.
     *
     * @param staged version to load in advance
     * @param active version to serve
     */
    public record DesiredVersions(WeightVersion staged, WeightVersion active) {
        /** No version has been published yet. */
        public static final DesiredVersions NONE =
                new DesiredVersions(WeightVersion.NONE, WeightVersion.NONE);
    }
}
