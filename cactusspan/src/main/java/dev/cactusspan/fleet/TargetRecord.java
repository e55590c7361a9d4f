package dev.cactusspan.fleet;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.SoftwareVersion;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.WeightVersion;
import java.net.URI;
import java.util.Map;

/**
 * Registration entry that a target publishes in the store.
 *
 * @param id target id
 * @param service service that the target belongs to
 * @param software version of its software; targets of several versions may serve at once
 * @param address base URI of the target
 * @param zone availability zone
 * @param slots number of requests that the target runs concurrently
 * @param isLeaving true if the target accepts no new work
 * @param orders number of orders accepted since the target started
 * @param startedMs start time, milliseconds of the wall clock
 * @param versions active weight version by model
 * @param coldRemainingMs time for which the target was still cold when it wrote this, in
 *     milliseconds
 */
public record TargetRecord(
        TargetId id,
        ServiceId service,
        SoftwareVersion software,
        URI address,
        AvailabilityZoneId zone,
        int slots,
        boolean isLeaving,
        long orders,
        long startedMs,
        Map<ModelId, WeightVersion> versions,
        long coldRemainingMs) {
    /** Creates an entry of a target that is not cold. */
    public TargetRecord(
            TargetId id,
            ServiceId service,
            SoftwareVersion software,
            URI address,
            AvailabilityZoneId zone,
            int slots,
            boolean isLeaving,
            long orders,
            long startedMs,
            Map<ModelId, WeightVersion> versions) {
        this(
                id, service, software, address, zone, slots, isLeaving, orders, startedMs, versions,
                0);
    }

    /**
     * Returns the weight version of a model.
     *
     * @param model the model
     * @return the version, {@link WeightVersion#NONE} if the target does not have the model
     */
    public WeightVersion version(ModelId model) {
        return versions.getOrDefault(model, WeightVersion.NONE);
    }
}
