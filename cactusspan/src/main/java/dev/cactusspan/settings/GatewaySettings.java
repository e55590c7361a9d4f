package dev.cactusspan.settings;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.id.VmId;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Settings of a process on a hosting platform.
 *
 * @param vm its VM
 * @param zone its availability zone
 * @param zones region of each availability zone
 * @param ip address that the process listens on
 * @param clientAddress IP and port for clients, empty if it serves none
 * @param readyAddress IP and port of the readiness probe, empty if there is none
 * @param linkPort port for links from other processes
 * @param metricsPort port of the metrics
 * @param storeAddress IP and port of the platform's store
 * @param usageAddress IP and port of the platform's interface for usage reports
 * @param usageWindowS length of a usage window in seconds
 * @param turnMs time within which two holders of a duty must not alternate, in milliseconds
 * @param isFencingChecked true if targets and the platform refuse older fencing numbers
 * @param reconnectMs time within which the process must know all changes again after its connection
 *     to the store is restored, in milliseconds
 * @param drainMs time within which no request reaches a target that is leaving, in milliseconds
 * @param evacuateMs time within which no request reaches a zone that is evacuated, in milliseconds;
 *     zero where zones are never evacuated
 * @param coldOverage how many times the rate that a cold target bears it may get in any second
 * @param desiredStateMs time within which a new desired state must be in force, in milliseconds
 * @param batchEndMs time within which the end of a batch must be in force, in milliseconds
 * @param learnsCapacity true to learn how much work each target takes well, false to take it by its
 *     word
 * @param stopS time between the request to stop and the kill, in seconds
 * @param memoryMb memory that the process may take, in MB, zero if not known
 * @param maxFds descriptors that the process may open, zero if not known
 */
public record GatewaySettings(
        VmId vm,
        AvailabilityZoneId zone,
        Map<AvailabilityZoneId, RegionId> zones,
        String ip,
        String clientAddress,
        String readyAddress,
        int linkPort,
        int metricsPort,
        String storeAddress,
        String usageAddress,
        int usageWindowS,
        long turnMs,
        boolean isFencingChecked,
        long reconnectMs,
        long drainMs,
        long evacuateMs,
        double coldOverage,
        long desiredStateMs,
        long batchEndMs,
        boolean learnsCapacity,
        int stopS,
        int memoryMb,
        int maxFds) {

    /** Reconnection time where the settings name none, in milliseconds. */
    private static final long DEFAULT_RECONNECT_MS = 4_000;

    /** Drain time where the settings name none, in milliseconds. */
    private static final long DEFAULT_DRAIN_MS = 2_500;

    /** Time until a desired state is in force where the settings name none, in milliseconds. */
    private static final long DEFAULT_DESIRED_STATE_MS = 2_500;

    /** Time until the end of a batch is in force where the settings name none, in milliseconds. */
    private static final long DEFAULT_BATCH_END_MS = 3_000;

    private static final List<String> TEXT_FIELDS =
            List.of("vm", "zone", "ip", "store_address", "usage_address");
    private static final List<String> NUMBER_FIELDS =
            List.of("link_port", "metrics_port", "usage_window_s", "turn_ms", "stop_s");
    private static final List<String> OPTIONAL_NUMBER_FIELDS = List.of("memory_mb", "max_fds");
    private static final List<String> ADDRESS_FIELDS =
            List.of("client_address", "ready_address", "store_address", "usage_address");
    private static final Pattern ADDRESS = Pattern.compile("[0-9.]+:[0-9]{1,5}");

    /** Fills in the values of absent fields. */
    public GatewaySettings {
        reconnectMs = reconnectMs <= 0 ? DEFAULT_RECONNECT_MS : reconnectMs;
        drainMs = drainMs <= 0 ? DEFAULT_DRAIN_MS : drainMs;
        desiredStateMs = desiredStateMs <= 0 ? DEFAULT_DESIRED_STATE_MS : desiredStateMs;
        batchEndMs = batchEndMs <= 0 ? DEFAULT_BATCH_END_MS : batchEndMs;
        clientAddress = clientAddress == null ? "" : clientAddress;
        readyAddress = readyAddress == null ? "" : readyAddress;
        zones = zones == null ? Map.of() : Map.copyOf(zones);
    }

    /**
     * Validates settings before they are converted. No JSON Schema is loaded for this, as its
     * loading time would add to the cost of each start.
     *
     * @param tree the settings
     * @return the problems, each with the path of its field
     */
    public static List<String> problems(JsonNode tree) {
        List<String> problems = new ArrayList<>();
        for (String field : TEXT_FIELDS) {
            if (!tree.path(field).isTextual() || tree.path(field).asText().isEmpty()) {
                problems.add("$." + field + ": expected a text that is not empty");
            }
        }
        for (String field : NUMBER_FIELDS) {
            if (!tree.path(field).canConvertToInt() || tree.path(field).asInt() <= 0) {
                problems.add("$." + field + ": expected a whole number above 0");
            }
        }
        for (String field : OPTIONAL_NUMBER_FIELDS) {
            boolean isPresent = tree.has(field);
            if (isPresent
                    && (!tree.path(field).canConvertToInt() || tree.path(field).asInt() < 0)) {
                problems.add("$." + field + ": expected a whole number of at least 0");
            }
        }
        for (String field : ADDRESS_FIELDS) {
            boolean isPresent =
                    tree.path(field).isTextual() && !tree.path(field).asText().isEmpty();
            if (isPresent && !ADDRESS.matcher(tree.path(field).asText()).matches()) {
                problems.add("$." + field + ": expected IP:PORT");
            }
        }
        return problems;
    }

    /**
     * Returns the address at which clients are served.
     *
     * @return IP and port
     */
    public InetSocketAddress clientSocket() {
        return socket(clientAddress);
    }

    /**
     * Returns the address at which readiness is checked.
     *
     * @return IP and port
     */
    public InetSocketAddress readySocket() {
        return socket(readyAddress);
    }

    private static InetSocketAddress socket(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
