package dev.cactusspan.fleet;

import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.ServiceId;
import java.util.List;

/**
 * A service of the desired state.
 *
 * @param name its name
 * @param maxConnections connections that one of its targets accepts from all callers together
 * @param models models that its engines hold, empty for a plain service
 */
public record FleetService(ServiceId name, int maxConnections, List<ModelId> models) {

    /**
     * Tells whether its targets are model engines.
     *
     * @return false for a plain service
     */
    public boolean isEngine() {
        return !models.isEmpty();
    }
}
