package dev.cactusspan.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.VmId;

/**
 * An order to start or stop a target.
 *
 * @param service the service
 * @param zone the availability zone
 * @param sequence number of the order for this service and zone, which identifies it
 * @param kind start or stop
 * @param vm the VM to stop, empty for a start
 * @param fencing fencing number of the duty's holder
 */
public record TargetOrder(
        ServiceId service,
        AvailabilityZoneId zone,
        long sequence,
        Kind kind,
        VmId vm,
        FencingNumber fencing) {

    /** The kind of order. */
    public enum Kind {
        /** Start one target. */
        @JsonProperty("start")
        START,
        /** Stop a target. */
        @JsonProperty("stop")
        STOP
    }

    /**
     * Returns the same order with another fencing number.
     *
     * @param fencingNumber the fencing number of the current holder
     * @return the order
     */
    public TargetOrder withFencing(FencingNumber fencingNumber) {
        return new TargetOrder(service, zone, sequence, kind, vm, fencingNumber);
    }
}
