package dev.cactusspan.membership;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.VmId;

/**
 * A VM as listed by the platform.
 *
 * @param vm VM id
 * @param environment environment that the VM serves
 * @param zone availability zone
 * @param role role of the process that runs on it
 * @param service service of its target, empty for an entry
 * @param ip IP address
 * @param port port on which its process accepts links
 * @param state whether the VM is live or leaving
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

    /** Role of the process that runs on a VM. */
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
        /** The VM is serving. */
        @JsonProperty("live")
        LIVE,
        /** The VM will stop soon. */
        @JsonProperty("leaving")
        LEAVING
    }

    /**
     * Returns whether the VM is live.
     *
     * @return false if it is leaving
     */
    public boolean isLive() {
        return state == State.LIVE;
    }
}
