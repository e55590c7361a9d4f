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
public record WeightBook(Map<ServiceId, Wanted> models) {

    /** Weight versions without any model. */
    public static final WeightBook EMPTY = new WeightBook(Map.of());

    /** Replaces an absent map with an empty one. */
    @JsonCreator
    public WeightBook(@JsonProperty("models") Map<ServiceId, Wanted> models) {
        this.models = models == null ? Map.of() : new TreeMap<>(models);
    }

    /**
     * Returns the desired versions of a model.
     *
     * @param model the model
     * @return the versions, zero if none has been published
     */
    public Wanted wanted(ServiceId model) {
        return models.getOrDefault(model, Wanted.NONE);
    }

    /**
     * Returns a copy with raised versions of a model; lower versions have no effect.
     *
     * @param model the model
     * @param staged version to load in advance
     * @param active version to serve
     * @return the copy
     */
    public WeightBook raise(ServiceId model, WeightVersion staged, WeightVersion active) {
        Wanted current = wanted(model);
        WeightVersion newActive = active.isAfter(current.active()) ? active : current.active();
        WeightVersion highest = staged.isAfter(newActive) ? staged : newActive;
        WeightVersion newStaged = highest.isAfter(current.staged()) ? highest : current.staged();
        Map<ServiceId, Wanted> raised = new TreeMap<>(models);
        raised.put(model, new Wanted(newStaged, newActive));
        return new WeightBook(raised);
    }

    /**
     * Desired versions of one model.
     *
     * @param staged version to load in advance
     * @param active version to serve
     */
    public record Wanted(WeightVersion staged, WeightVersion active) {
        /** No version has been published yet. */
        public static final Wanted NONE = new Wanted(WeightVersion.NONE, WeightVersion.NONE);
    }
}
