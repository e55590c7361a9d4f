package dev.cactusspan.weight;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.WeightVersion;
import java.util.Map;
import java.util.TreeMap;

/**
 * The wanted weight versions of each model of an environment. Versions only rise.
 *
 * @param models wanted versions by model
 */
public record WeightBook(Map<ServiceId, Wanted> models) {

    /** A book without models. */
    public static final WeightBook EMPTY = new WeightBook(Map.of());

    /** Fills in an absent map. */
    @JsonCreator
    public WeightBook(@JsonProperty("models") Map<ServiceId, Wanted> models) {
        this.models = models == null ? Map.of() : new TreeMap<>(models);
    }

    /**
     * Returns the wanted versions of a model.
     *
     * @param model the model
     * @return the versions, zero if none was published
     */
    public Wanted wanted(ServiceId model) {
        return models.getOrDefault(model, Wanted.NONE);
    }

    /**
     * Returns this book with versions of a model raised; lower ones change nothing.
     *
     * @param model the model
     * @param staged version to load ahead
     * @param active version to serve
     * @return the book
     */
    public WeightBook raise(ServiceId model, WeightVersion staged, WeightVersion active) {
        Wanted now = wanted(model);
        WeightVersion newActive = active.isAfter(now.active()) ? active : now.active();
        WeightVersion highest = staged.isAfter(newActive) ? staged : newActive;
        WeightVersion newStaged = highest.isAfter(now.staged()) ? highest : now.staged();
        Map<ServiceId, Wanted> raised = new TreeMap<>(models);
        raised.put(model, new Wanted(newStaged, newActive));
        return new WeightBook(raised);
    }

    /**
     * Wanted versions of one model.
     *
     * @param staged version to load ahead
     * @param active version to serve
     */
    public record Wanted(WeightVersion staged, WeightVersion active) {
        /** No version yet. */
        public static final Wanted NONE = new Wanted(WeightVersion.NONE, WeightVersion.NONE);
    }
}
