package dev.cactusspan.platform;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.fleet.ClientLimits;
import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.FleetAccount;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.FleetService;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.fleet.TargetRecord;
import dev.cactusspan.http.HttpField;
import dev.cactusspan.http.RequestTarget;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.RegionId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.region.Residency;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Parses values that operators, trainers and targets write to the store. */
public final class PlatformReader {
    /** Key of the latest desired state. */
    public static final String DESIRED_STATE_KEY = "op/config";

    /** Prefix of the named weight versions; followed by the model. */
    public static final String VERSION_PREFIX = "op/version/";

    /** Prefix of requests to evacuate an availability zone; followed by its name. */
    public static final String EVACUATION_PREFIX = "op/evacuate/";

    /** Prefix of requests to retire a VM; followed by its name. */
    public static final String RETIRE_PREFIX = "op/retire/";

    /** Prefix of the responses to requests to retire a VM; followed by its name. */
    public static final String RETIRE_STATUS_PREFIX = "status/retire/";

    /** Prefix of the records of targets; followed by the id. */
    public static final String TARGET_PREFIX = "servers/";

    private static final long MS_PER_S = 1_000;
    private static final int DEFAULT_HEADER_BYTES = 16_384;
    private static final int DEFAULT_BODY_BYTES = 32 << 20;
    private static final int DEFAULT_HEADER_MS = 3_000;
    private static final int DEFAULT_IDLE_MS = 15_000;

    private PlatformReader() {}

    /**
     * Reads a desired state.
     *
     * @param bytes JSON in UTF-8
     * @return the desired state, or {@code bad_request}
     */
    public static Result<DesiredState> desiredState(byte[] bytes) {
        return JsonText.read(bytes, JsonNode.class)
                .flatMap(PlatformReader::checkedFields)
                .flatMap(PlatformReader::desiredState);
    }

    /** Checks what the heads of requests are compared with or composed of. */
    private static Result<JsonNode> checkedFields(JsonNode document) {
        for (JsonNode route : document.path("routes")) {
            String host = route.path("host").asText();
            String prefix = route.path("prefix").asText();
            String at = "routes." + route.path("name").asText();
            Result<RequestTarget> checked =
                    (host.isEmpty() ? Result.of("") : HttpField.host(at + ".host", host))
                            .flatMap(
                                    h ->
                                            RequestTarget.parse(
                                                    at + ".prefix",
                                                    prefix.isEmpty() ? "/" : prefix));
            if (!checked.isOk()) {
                return checked.map(target -> document);
            }
        }
        for (JsonNode account : document.path("tenants")) {
            Result<HttpField> checked =
                    HttpField.parse("tenants", "name", account.path("name").asText());
            if (!checked.isOk()) {
                return checked.map(name -> document);
            }
        }
        return Result.of(document);
    }

    private static Result<DesiredState> desiredState(JsonNode node) {
        if (!node.path("routes").isArray()) {
            return Result.fail(ErrorKind.BAD_REQUEST, "no routes");
        }
        JsonFields fields = JsonFields.of("desired_state", node);
        long revision = fields.whole("version", 0, Long.MAX_VALUE);
        List<FleetRoute> routes = new ArrayList<>();
        node.path("routes").forEach(n -> routes.add(route(n, fields.at("routes", n))));
        List<FleetService> services = new ArrayList<>();
        node.path("services").forEach(n -> services.add(service(n, fields.at("services", n))));
        List<FleetAccount> accounts = new ArrayList<>();
        node.path("tenants").forEach(n -> accounts.add(account(n, fields.at("tenants", n))));
        ClientLimits limits = limits(fields.at("limits", node.path("limits")));
        return fields.result(
                () -> DesiredState.of(Revision.of(revision), routes, services, accounts, limits));
    }

    private static FleetRoute route(JsonNode node, JsonFields fields) {
        List<FleetRoute.Share> shares = new ArrayList<>();
        node.path("backends")
                .forEach(
                        n ->
                                shares.add(
                                        new FleetRoute.Share(
                                                ServiceId.of(n.path("service").asText()),
                                                fields.at("backends", n).fraction("weight", 1))));
        if (shares.isEmpty()) {
            shares.add(new FleetRoute.Share(ServiceId.of(node.path("service").asText()), 1));
        }
        return new FleetRoute(
                RouteId.of(node.path("name").asText()),
                node.path("host").asText(),
                node.path("prefix").asText(),
                kind(node.path("type").asText()),
                fields.number("timeout_ms", 0, 0, Long.MAX_VALUE),
                fields.number("slo_ms", 0, 0, Long.MAX_VALUE),
                (int) fields.number("priority", 0, 0, Integer.MAX_VALUE),
                List.copyOf(shares),
                Math.max(1, (int) fields.number("max_attempts", 1, 0, Integer.MAX_VALUE)),
                node.path("public").asBoolean(false),
                node.path("resumable").asBoolean(false),
                new FleetRoute.BatchBounds(
                        fields.number("run_slo_ms", 0, 0, Long.MAX_VALUE),
                        (long) (fields.fraction("retention_s", 0) * MS_PER_S),
                        node.path("single_version").asBoolean(false)),
                residency(node));
    }

    /** Parses the kind of a route. An unknown kind becomes non-idempotent, the safest one. */
    private static RouteKind kind(String text) {
        return switch (text) {
            case "idempotent" -> RouteKind.IDEMPOTENT;
            case "streaming" -> RouteKind.STREAMING;
            case "rollout", "batch" -> RouteKind.BATCH;
            default -> RouteKind.NON_IDEMPOTENT;
        };
    }

    private static FleetService service(JsonNode node, JsonFields fields) {
        List<ModelId> models = new ArrayList<>();
        node.path("engine")
                .path("models")
                .forEach(n -> models.add(ModelId.of(n.path("name").asText())));
        return new FleetService(
                ServiceId.of(node.path("name").asText()),
                (int) fields.number("max_connections", 0, 0, Integer.MAX_VALUE),
                List.copyOf(models),
                (long) (fields.fraction("cold_start_s", 0) * MS_PER_S),
                fields.fraction("cold_per_s", 0));
    }

    private static FleetAccount account(JsonNode node, JsonFields fields) {
        Set<String> keys = new HashSet<>();
        node.path("api_keys").forEach(n -> keys.add(n.asText()));
        return new FleetAccount(
                AccountId.of(node.path("name").asText()),
                (int) fields.number("priority", 0, 0, Integer.MAX_VALUE),
                Set.copyOf(keys),
                residency(node));
    }

    private static Residency residency(JsonNode node) {
        Set<RegionId> regions = new HashSet<>();
        node.path("allowed_regions").forEach(n -> regions.add(RegionId.of(n.asText())));
        return Residency.of(regions);
    }

    private static ClientLimits limits(JsonFields fields) {
        return new ClientLimits(
                (int) fields.number("max_header_bytes", DEFAULT_HEADER_BYTES, 0, Integer.MAX_VALUE),
                fields.number("max_body_bytes", DEFAULT_BODY_BYTES, 0, Long.MAX_VALUE),
                (int) fields.number("header_timeout_ms", DEFAULT_HEADER_MS, 0, Integer.MAX_VALUE),
                (int) fields.number("idle_timeout_ms", DEFAULT_IDLE_MS, 0, Integer.MAX_VALUE));
    }

    /**
     * Reads the record of a target. A record with any missing or malformed field is rejected.
     *
     * @param key its key in the store
     * @param bytes JSON in UTF-8
     * @return the target, or {@code bad_request}
     */
    public static Result<TargetRecord> target(String key, byte[] bytes) {
        String id = key.substring(TARGET_PREFIX.length());
        return JsonText.read(bytes, JsonNode.class).flatMap(node -> TargetReader.read(id, node));
    }

    /**
     * Reads a named weight version.
     *
     * @param bytes JSON in UTF-8
     * @return the version, or {@code bad_request}
     */
    public static Result<WeightVersion> namedVersion(byte[] bytes) {
        return JsonText.read(bytes, JsonNode.class)
                .map(node -> JsonFields.of("weights", node))
                .flatMap(
                        fields -> {
                            long version = fields.whole("version", 0, Long.MAX_VALUE);
                            return fields.result(() -> WeightVersion.of(version));
                        });
    }

    /**
     * Returns the response to a request to retire a VM that stores no data.
     *
     * @return JSON in UTF-8
     */
    public static byte[] retiredStatus() {
        return JsonText.write(Map.of("state", "completed"));
    }
}
