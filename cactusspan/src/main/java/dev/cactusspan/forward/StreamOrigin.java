package dev.cactusspan.forward;

import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.SoftwareVersion;

/**
 * Where a stream began. What two software versions of a service write does not fit together, so a
 * stream may be resumed only at targets of its origin.
 *
 * @param service the service
 * @param software version of its software
 */
public record StreamOrigin(ServiceId service, SoftwareVersion software) {

    /**
     * Returns the origin of streams that begin at a target.
     *
     * @param target registration entry of the target
     * @return the origin
     */
    public static StreamOrigin of(TargetRecord target) {
        return new StreamOrigin(target.service(), target.software());
    }
}
