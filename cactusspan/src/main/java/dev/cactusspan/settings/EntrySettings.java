package dev.cactusspan.settings;

import dev.cactusspan.config.Stage;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.VmId;
import java.net.URI;

/**
 * Settings of an entry process.
 *
 * @param environment the environment that the entry serves
 * @param stage the stage of the document that the entry follows
 * @param vm its VM
 * @param zone its availability zone
 * @param ip address that the entry listens on
 * @param httpPort port for callers and trainers
 * @param adminPort port for health, metrics and status
 * @param linkPort port for links from other entries
 * @param platformUrl base URL of the platform
 * @param linksPerTarget number of entries that connect to one target
 * @param drainMs how long a graceful shutdown waits for requests in progress
 */
public record EntrySettings(
        EnvironmentId environment,
        Stage stage,
        VmId vm,
        AvailabilityZoneId zone,
        String ip,
        int httpPort,
        int adminPort,
        int linkPort,
        URI platformUrl,
        int linksPerTarget,
        long drainMs) {
    private static final int DEFAULT_LINKS_PER_TARGET = 8;
    private static final long DEFAULT_DRAIN_MS = 600_000;

    /** Fills in the values of absent fields. */
    public EntrySettings {
        linksPerTarget = linksPerTarget == 0 ? DEFAULT_LINKS_PER_TARGET : linksPerTarget;
        drainMs = drainMs == 0 ? DEFAULT_DRAIN_MS : drainMs;
    }
}
