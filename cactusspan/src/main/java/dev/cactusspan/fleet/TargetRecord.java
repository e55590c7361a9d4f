package dev.cactusspan.fleet;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.WeightVersion;
import java.net.URI;
import java.util.Map;

/**
 * What a target says of itself.
 *
 * @param id its id
 * @param service the service that it belongs to
 * @param address where it answers
 * @param zone its availability zone
 * @param slots requests that it runs at a time
 * @param isLeaving true if it takes no new work
 * @param orders orders that it has accepted since its start
 * @param startedMs when it started, milliseconds of the wall clock
 * @param versions weight version in force by model
 */
public record TargetRecord(
        TargetId id,
        ServiceId service,
        URI address,
        AvailabilityZoneId zone,
        int slots,
        boolean isLeaving,
        long orders,
        long startedMs,
        Map<ModelId, WeightVersion> versions) {

    /**
     * Returns the weight version of a model.
     *
     * @param model the model
     * @return its version, {@link WeightVersion#NONE} if it is not held
     */
    public WeightVersion version(ModelId model) {
        return versions.getOrDefault(model, WeightVersion.NONE);
    }
}
