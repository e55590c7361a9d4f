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
 */
public record FleetService(ServiceId name, int maxConnections, List<ModelId> models) {

    /**
     * Returns whether the targets are model engines.
     *
     * @return false for a plain service
     */
    public boolean isEngine() {
        return !models.isEmpty();
    }
}
