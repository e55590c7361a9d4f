package dev.cactusspan.fleet;

import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.ServiceId;
import java.util.List;

/**
 * A service of the desired state.
 *
 * @param name name of the service
 * @param maxConnections connections that each target accepts from all callers together
 * @param models models that the engines serve, empty for a plain service
 * @param coldStartMs time for which a target is cold after it started, in milliseconds
 * @param coldPerS requests per second that a cold target bears, zero if it bears all
 */
public record FleetService(
        ServiceId name,
        int maxConnections,
        List<ModelId> models,
        long coldStartMs,
        double coldPerS) {
    /** Creates a service whose targets are never cold. */
    public FleetService(ServiceId name, int maxConnections, List<ModelId> models) {
        this(name, maxConnections, models, 0, 0);
    }

    /**
     * Returns whether the targets are model engines.
     *
     * @return false for a plain service
     */
    public boolean isEngine() {
        return !models.isEmpty();
    }
}
