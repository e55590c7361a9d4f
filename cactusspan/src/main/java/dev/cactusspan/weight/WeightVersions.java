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
public record WeightVersions(Map<ServiceId, DesiredVersions> models) {

    /** A book without models. */
    public static final WeightVersions EMPTY = new WeightVersions(Map.of());

    /** Fills in an absent map. */
    @JsonCreator
    public WeightVersions(@JsonProperty("models") Map<ServiceId, DesiredVersions> models) {
        this.models = models == null ? Map.of() : new TreeMap<>(models);
    }

    /**
     * Returns the wanted versions of a model.
     *
     * @param model the model
     * @return the versions, zero if none was published
     */
    public DesiredVersions desired(ServiceId model) {
        return models.getOrDefault(model, DesiredVersions.NONE);
    }

    /**
     * Returns this book with versions of a model raised; lower ones change nothing.
     *
     * @param model the model
     * @param staged version to load ahead
     * @param active version to serve
     * @return the book
     */
    public WeightVersions raise(ServiceId model, WeightVersion staged, WeightVersion active) {
        DesiredVersions now = desired(model);
        WeightVersion newActive = active.isAfter(now.active()) ? active : now.active();
        WeightVersion highest = staged.isAfter(newActive) ? staged : newActive;
        WeightVersion newStaged = highest.isAfter(now.staged()) ? highest : now.staged();
        Map<ServiceId, DesiredVersions> raised = new TreeMap<>(models);
        raised.put(model, new DesiredVersions(newStaged, newActive));
        return new WeightVersions(raised);
    }

    /**
     * DesiredVersions versions of one model.
     *
     * @param staged version to load ahead
     * @param active version to serve
     */
    public record DesiredVersions(WeightVersion staged, WeightVersion active) {
        /** No version yet. */
        public static final DesiredVersions NONE =
                new DesiredVersions(WeightVersion.NONE, WeightVersion.NONE);
    }
}
