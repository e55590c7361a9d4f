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
 * @param environment the environment that it serves
 * @param service the service that its target belongs to
 * @param target its target
 * @param vm its VM
 * @param zone its availability zone
 * @param ip address that it listens at
 * @param adminPort port for health, metrics and status
 * @param linkPort port for links from entries
 * @param platformUrl where the platform answers
 * @param targetUrl where its target answers
 * @param kind what its target is
 * @param slots requests that the target takes at a time
 * @param queueRequests requests that wait before the target at most
 * @param drainMs how long a planned stop waits for requests in progress
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

    /** What a target is. */
    public enum Kind {
        /** A model engine. */
        @JsonProperty("engine")
        ENGINE,
        /** A plain service. */
        @JsonProperty("service")
        SERVICE
    }
}
