package dev.cactusspan.platform;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.batch.Batch;
import dev.cactusspan.batch.BatchCodec;
import dev.cactusspan.batch.BatchItem;
import dev.cactusspan.batch.ItemResult;
import dev.cactusspan.batch.ResultsView;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.forward.ClientRequest;
import dev.cactusspan.http.HttpField;
import dev.cactusspan.http.RequestTarget;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Parses batches that trainers submit, and writes the results that they read. */
public final class PlatformBatches implements BatchCodec {

    @Override
    public Result<Batch> read(
            ClientRequest request, FleetRoute route, AccountId account, long wallMs) {
        return JsonText.read(request.body(), JsonNode.class)
                .flatMap(
                        node ->
                                items(node.path("items"))
                                        .map(
                                                items ->
                                                        batch(
                                                                request, route, account, wallMs,
                                                                node, items)));
    }

    private static Batch batch(
            ClientRequest request,
            FleetRoute route,
            AccountId account,
            long wallMs,
            JsonNode node,
            List<BatchItem> items) {
        return new Batch(
                BatchId.of(request.id().value()),
                account,
                route.name(),
                request.host(),
                route.chooseService(0),
                node.path("step").asLong(0),
                ModelId.of(node.path("model").asText()),
                WeightVersion.of(Math.max(0, node.path("min_version").asLong(0))),
                node.path("target_groups").asInt(0),
                route.maxAttempts(),
                route.batch().singleVersion(),
                wallMs,
                route.batch().dueMs(),
                route.batch().retentionMs(),
                items);
    }

    private static Result<List<BatchItem>> items(JsonNode node) {
        if (!node.isArray() || node.isEmpty()) {
            return Result.fail(ErrorKind.BAD_REQUEST, "items: expected a list with an item");
        }
        List<BatchItem> items = new ArrayList<>();
        Set<ItemId> ids = new HashSet<>();
        for (JsonNode entry : node) {
            Result<BatchItem> item = item(entry, items.size());
            if (!item.isOk()) {
                return item.map(List::of);
            }
            if (!ids.add(item.get().id())) {
                return Result.fail(
                        ErrorKind.BAD_REQUEST, "items[" + items.size() + "].id: comes twice");
            }
            items.add(item.get());
        }
        return Result.of(items);
    }

    private static Result<BatchItem> item(JsonNode node, int index) {
        String at = "items[" + index + "]";
        if (!node.path("id").isTextual() || !node.path("path").isTextual()) {
            return Result.fail(ErrorKind.BAD_REQUEST, at + ": no id or no path");
        }
        Optional<byte[]> body = base64(node.path("body").asText());
        JsonNode scorer = node.path("scorer");
        Optional<byte[]> scorerBody = base64(scorer.path("body").asText());
        if (body.isEmpty() || scorerBody.isEmpty()) {
            return Result.fail(ErrorKind.BAD_REQUEST, at + ": a body is not base64");
        }
        Map<String, String> headers = new LinkedHashMap<>();
        node.path("headers")
                .fields()
                .forEachRemaining(e -> headers.put(e.getKey(), e.getValue().asText()));
        Optional<BatchItem.Scorer> score =
                scorer.path("id").isTextual()
                        ? Optional.of(
                                new BatchItem.Scorer(
                                        scorer.path("id").asText(),
                                        scorer.path("host").asText(),
                                        scorer.path("path").asText(),
                                        scorerBody.get()))
                        : Optional.empty();
        Result<RequestTarget> path = checkedPath(at, node, headers, score);
        if (!path.isOk()) {
            return path.map(p -> null);
        }
        return Result.of(
                new BatchItem(
                        ItemId.of(node.path("id").asText()),
                        path.get().value(),
                        PlatformHeaders.forwarded(headers),
                        body.get(),
                        expectedTokens(headers),
                        node.path("group").asText(node.path("id").asText()),
                        score));
    }

    /** Checks all that an item and its scorer put into the heads of requests. */
    private static Result<RequestTarget> checkedPath(
            String at,
            JsonNode node,
            Map<String, String> headers,
            Optional<BatchItem.Scorer> scorer) {
        Result<RequestTarget> path =
                HttpField.parse(at, "id", node.path("id").asText())
                        .flatMap(id -> HttpField.check(at + ".headers", headers))
                        .flatMap(
                                h -> RequestTarget.parse(at + ".path", node.path("path").asText()));
        if (scorer.isEmpty()) {
            return path;
        }
        String scorerAt = at + ".scorer";
        return HttpField.parse(scorerAt, "id", scorer.get().id())
                .flatMap(id -> HttpField.host(scorerAt + ".host", scorer.get().host()))
                .flatMap(host -> RequestTarget.parse(scorerAt + ".path", scorer.get().path()))
                .flatMap(scorerPath -> path);
    }

    /** Returns the client's estimate if there is one, else the maximum number of output tokens. */
    private static long expectedTokens(Map<String, String> headers) {
        String bound = headers.getOrDefault(PlatformHeaders.TOKEN_USAGE, "");
        String estimate = headers.getOrDefault(PlatformHeaders.LENGTH_ESTIMATE, "");
        String digits = estimate.isEmpty() ? bound.substring(bound.indexOf(',') + 1) : estimate;
        return digits.matches("[0-9]{1,9}") ? Long.parseLong(digits) : 0;
    }

    private static Optional<byte[]> base64(String text) {
        try {
            return Optional.of(Base64.getDecoder().decode(text));
        } catch (IllegalArgumentException e) {
            // The caller reports which field is malformed.
            return Optional.empty();
        }
    }

    /**
     * Serializes results.
     *
     * @param view the results
     * @return JSON in UTF-8
     */
    public static byte[] results(ResultsView view) {
        List<Map<String, Object>> results = new ArrayList<>();
        view.results().forEach(r -> results.add(result(r)));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("total", view.total());
        body.put("next", view.next());
        body.put("results", results);
        return JsonText.write(body);
    }

    private static Map<String, Object> result(ItemResult result) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("id", result.id().value());
        body.put("state", result.isCompleted() ? "completed" : "dead");
        if (result.isCompleted()) {
            body.put("text", result.text());
            body.put("versions", result.versions());
            if (!result.score().isEmpty()) {
                body.put("score", result.score());
            }
        }
        return body;
    }
}
