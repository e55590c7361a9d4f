package dev.cactusspan.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.InetAddresses;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.http.HttpField;
import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.SoftwareVersion;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses registration entries of targets. Load pattern: another writer leaves an entry of its own
 * among them; requests that are sent there are lost time for their callers. An entry is therefore
 * used as a whole or not at all.
 */
final class TargetReader {
    private static final Set<String> STATES = Set.of("ready", "draining");
    private static final Pattern ADDRESS = Pattern.compile("([0-9.]{7,15}):([1-9][0-9]{0,4})");
    private static final int MAX_PORT = 65_535;

    /** First octet of the reserved and broadcast addresses (RFC 1112, section 4). */
    private static final int RESERVED_FROM = 240;

    /** A target runs at most as many requests as it has ports for their connections. */
    private static final int MAX_SLOTS = MAX_PORT;

    private TargetReader() {}

    /**
     * Reads an entry.
     *
     * @param id id of the target
     * @param node the entry
     * @return the target, or {@code bad_request} with the first field that is not usable
     */
    static Result<TargetRecord> read(String id, JsonNode node) {
        JsonFields fields = JsonFields.of("target", node);
        String service = fields.text("service");
        String software = fields.text("version");
        String zone = fields.text("zone");
        String state = fields.text("state");
        String address = fields.text("address");
        int slots = (int) fields.whole("slots", 1, MAX_SLOTS);
        long orders = fields.whole("sequence", 0, Long.MAX_VALUE);
        long startedMs = fields.whole("born", 0, 0, Long.MAX_VALUE);
        long coldMs = fields.number("cold_remaining_ms", 0, 0, Long.MAX_VALUE);
        Map<ModelId, WeightVersion> versions = versions(fields);
        if (!STATES.contains(state)) {
            return Result.fail(ErrorKind.BAD_REQUEST, "target.state: not a known state");
        }
        return checkedId(id)
                .flatMap(checked -> uri(address))
                .flatMap(
                        uri ->
                                fields.result(
                                        () ->
                                                new TargetRecord(
                                                        TargetId.of(id),
                                                        ServiceId.of(service),
                                                        SoftwareVersion.of(software),
                                                        uri,
                                                        AvailabilityZoneId.of(zone),
                                                        slots,
                                                        state.equals("draining"),
                                                        orders,
                                                        startedMs,
                                                        Map.copyOf(versions),
                                                        coldMs)));
    }

    private static Map<ModelId, WeightVersion> versions(JsonFields fields) {
        Map<ModelId, WeightVersion> versions = new HashMap<>();
        for (JsonNode node : fields.array("models")) {
            JsonFields model = fields.at("models", node);
            String name = model.text("name");
            long version = model.whole("version", 0, 0, Long.MAX_VALUE);
            if (version > 0) {
                versions.put(ModelId.of(name), WeightVersion.of(version));
            }
        }
        return versions;
    }

    /** Checks an id, which requests name in a header. */
    private static Result<HttpField> checkedId(String id) {
        return id.isEmpty()
                ? Result.fail(ErrorKind.BAD_REQUEST, "target: empty id")
                : HttpField.parse("target", PlatformHeaders.EXPECTED_TARGET, id);
    }

    private static Result<URI> uri(String address) {
        Matcher parts = ADDRESS.matcher(address);
        boolean isUsable =
                parts.matches()
                        && InetAddresses.isInetAddress(parts.group(1))
                        && isHost(InetAddresses.forString(parts.group(1)))
                        && Integer.parseInt(parts.group(2)) <= MAX_PORT;
        return isUsable
                ? Result.of(URI.create("http://" + address))
                : Result.fail(
                        ErrorKind.BAD_REQUEST, "target.address: not an IPv4 address and port");
    }

    private static boolean isHost(InetAddress address) {
        return address instanceof Inet4Address
                && !address.isAnyLocalAddress()
                && !address.isMulticastAddress()
                && Byte.toUnsignedInt(address.getAddress()[0]) < RESERVED_FROM;
    }
}
