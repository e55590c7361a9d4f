package dev.cactusspan.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.VmId;

/**
 * A VM as the platform lists it.
 *
 * @param vm its id
 * @param environment the environment it serves
 * @param zone its availability zone
 * @param role what runs on it
 * @param service the service of its target, empty for an entry
 * @param ip its address
 * @param port port of the links of its process
 * @param state whether it is live
 */
public record VmRecord(
        VmId vm,
        EnvironmentId environment,
        AvailabilityZoneId zone,
        Role role,
        ServiceId service,
        String ip,
        int port,
        State state) {

    /** What runs on a VM. */
    public enum Role {
        /** An entry process. */
        @JsonProperty("entry")
        ENTRY,
        /** A target with a side process. */
        @JsonProperty("target")
        TARGET
    }

    /** State of a VM. */
    public enum State {
        /** It serves. */
        @JsonProperty("live")
        LIVE,
        /** It will stop soon. */
        @JsonProperty("leaving")
        LEAVING
    }

    /**
     * Tells whether the VM is live.
     *
     * @return false if it is leaving
     */
    public boolean isLive() {
        return state == State.LIVE;
    }
}
