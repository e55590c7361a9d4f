package dev.cactusspan.platform;

import dev.cactusspan.batch.Batch;
import dev.cactusspan.batch.BatchCodec;
import dev.cactusspan.batch.ItemResult;
import dev.cactusspan.batch.ResultsView;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.forward.ClientRequest;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ModelId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses batches that trainers submit, and writes the results that they read. */
public final class PlatformBatches implements BatchCodec {

    @Override
    public Result<Batch> read(
            ClientRequest request, FleetRoute route, AccountId account, long wallMs) {
        return BatchParser.parse(request.body())
                .map(parsed -> batch(request, route, account, wallMs, parsed));
    }

    private static Batch batch(
            ClientRequest request,
            FleetRoute route,
            AccountId account,
            long wallMs,
            BatchParser.Parsed parsed) {
        return new Batch(
                BatchId.of(request.id().value()),
                account,
                route.name(),
                request.host(),
                route.chooseService(0),
                parsed.step(),
                ModelId.of(parsed.model()),
                WeightVersion.of(Math.max(0, parsed.minVersion())),
                parsed.wantedGroups(),
                route.maxAttempts(),
                route.batch().singleVersion(),
                wallMs,
                route.batch().dueMs(),
                route.batch().retentionMs(),
                parsed.items());
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
