package dev.cactusspan.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.VmId;
import java.net.URI;

/**
 * Settings of a side process.
 *
 * @param environment the environment that the side process serves
 * @param service the service that its target belongs to
 * @param target its target
 * @param vm its VM
 * @param zone its availability zone
 * @param ip address that the side process listens on
 * @param adminPort port for health, metrics and status
 * @param linkPort port for links from entries
 * @param platformUrl base URL of the platform
 * @param targetUrl base URL of its target
 * @param kind kind of its target
 * @param slots number of requests that the target processes at a time
 * @param queueRequests maximum number of requests in the queue of the target
 * @param drainMs how long a graceful shutdown waits for requests in progress
 */
public record SideSettings(
        EnvironmentId environment,
        ServiceId service,
        TargetId target,
        VmId vm,
        AvailabilityZoneId zone,
        String ip,
        int adminPort,
        int linkPort,
        URI platformUrl,
        URI targetUrl,
        Kind kind,
        int slots,
        int queueRequests,
        long drainMs) {
    private static final int DEFAULT_QUEUE_REQUESTS = 1_024;
    private static final long DEFAULT_DRAIN_MS = 600_000;

    /** Fills in the values of absent fields. */
    public SideSettings {
        queueRequests = queueRequests == 0 ? DEFAULT_QUEUE_REQUESTS : queueRequests;
        drainMs = drainMs == 0 ? DEFAULT_DRAIN_MS : drainMs;
    }

    /** Kind of a target. */
    public enum Kind {
        /** A model engine. */
        @JsonProperty("engine")
        ENGINE,
        /** A plain service. */
        @JsonProperty("service")
        SERVICE
    }
}
