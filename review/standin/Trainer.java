import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntFunction;

/** A trainer's calls: submits a batch, reads its results and ends it. */
final class Trainer {
    static final String PREFIX = "/pufi791/";
    private static final String SCORE_SERVICE = "judge96c";
    private static final String SCORE_PATH = "/lohu930/5e07";
    private final Deployment mDeployment;
    private final Random mRandom = new Random();

    Trainer(Deployment deployment) {
        mDeployment = deployment;
    }

    /** Writes a desired state with a route of rollouts and the route of their scorer. */
    static void putDesiredState(Deployment deployment, int maxAttempts) {
        Map<String, Object> rollout =
                Deployment.route("r-rollout", PREFIX, "rollout", "huvo11a", maxAttempts);
        rollout.put("retention_s", 40.0);
        rollout.put("run_slo_ms", 7_500);
        rollout.put("single_version", false);
        rollout.put("sticky", true);
        rollout.put("resumable", true);
        Map<String, Object> score =
                Deployment.route("r-score", "/lohu930/", "idempotent", SCORE_SERVICE, 4);
        deployment.putDesiredState(
                List.of(rollout, score, Quotes.route()),
                List.of(
                        Map.of(
                                "name",
                                "huvo11a",
                                "max_connections",
                                150,
                                "engine",
                                Map.of("models", List.of(Map.of("name", Engine.MODEL)))),
                        Map.of("name", SCORE_SERVICE, "max_connections", 100),
                        Quotes.service()));
    }

    /** Starts a plain worker that answers reward calls. */
    static void startScorer(Deployment deployment, int number) throws IOException {
        String id = "i-score" + number;
        Http.Server server =
                new Http.Server(
                        deployment.workerIp(50 + number),
                        0,
                        (connection, request) -> {
                            String call = request.header("Attempt-Id");
                            boolean isMine = request.header("Expect-Instance").equals(id);
                            Map<String, String> headers = new LinkedHashMap<>();
                            headers.put("Attempt-Id", call);
                            headers.put(isMine ? "Server-Stamp" : "Not-Executed", "5d." + call);
                            int status = isMine ? 200 : 421;
                            connection.write(
                                    Http.response(status, headers, Http.utf8("scored")));
                        });
        deployment.register(id, SCORE_SERVICE, server.address(), 40, Map.of());
    }

    /** Returns the body of a batch. */
    static byte[] batch(String batch, int step, int groups, int size, int events, int bodyBytes)
            throws IOException {
        return batch(batch, step, 1, groups, size, events, bodyBytes, i -> PREFIX + "3/" + i);
    }

    /** Returns the body of a batch whose items have the given paths. */
    static byte[] batch(
            String batch,
            int step,
            int minVersion,
            int groups,
            int size,
            int events,
            int bodyBytes,
            IntFunction<String> paths)
            throws IOException {
        String body = Base64.getEncoder().encodeToString(new byte[bodyBytes]);
        List<Map<String, Object>> items = new ArrayList<>();
        for (int i = 0; i < groups * size; i++) {
            Map<String, Object> item = new LinkedHashMap<>();
            item.put("id", itemId(batch, i));
            item.put("path", paths.apply(i));
            item.put(
                    "headers",
                    Map.of(
                            "Model", Engine.MODEL,
                            "Token-Usage", "271," + events,
                            "Prompt-Prefix", "9c2e41:255,5d07b8:16"));
            item.put("body", body);
            item.put("tokens", 271 + events);
            item.put("group", "g" + i / size);
            item.put(
                    "scorer",
                    Map.of(
                            "id", "5c" + itemId(batch, i),
                            "host", Deployment.HOST,
                            "path", SCORE_PATH,
                            "body", body));
            items.add(item);
        }
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("step", step);
        json.put("model", Engine.MODEL);
        json.put("min_version", minVersion);
        json.put("target_groups", Math.max(1, groups * 9 / 10));
        json.put("items", items);
        return Store.JSON.writeValueAsBytes(json);
    }

    static String itemId(String batch, int index) {
        return batch + String.format("%04x", index);
    }

    Deployment.Entry anyEntry() {
        return mDeployment.entries.get(mRandom.nextInt(mDeployment.entries.size()));
    }

    /** Sends a call on a new connection; returns empty headers and status 0 without an answer. */
    Http.Message call(
            Deployment.Entry entry,
            String line,
            Map<String, String> more,
            byte[] body,
            int waitMs) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Deployment.HOST);
        headers.put("X-Api-Key", "key-1");
        headers.putAll(more);
        try (Http.Connection connection = Http.Connection.open(entry.clientAddress(), waitMs)) {
            connection.write(Http.bytes(line + " HTTP/1.1", headers, body));
            return Http.read(connection, false);
        } catch (IOException e) {
            Http.Message none = new Http.Message();
            none.startLine = "HTTP/1.1 0 " + e;
            return none;
        }
    }

    /** Submits a batch to an entry; returns the status, zero without an answer. */
    int submit(Deployment.Entry entry, String batch, byte[] body) {
        return call(entry, "POST " + PREFIX + batch, Map.of("Attempt-Id", batch), body, 4_000)
                .status();
    }

    /** Reads results from a position on; null without an answer of 200. */
    JsonNode read(String batch, int after, long waitMs) throws IOException {
        Http.Message answer =
                call(
                        anyEntry(),
                        "GET /-/lots/" + batch + "?after=" + after,
                        Map.of("Wait-Ms", Long.toString(waitMs)),
                        new byte[0],
                        (int) waitMs + 1_500);
        return answer.status() == 200 ? Store.JSON.readTree(answer.body) : null;
    }

    int end(String batch) {
        return call(anyEntry(), "DELETE /-/lots/" + batch, Map.of(), new byte[0], 2_000).status();
    }
}
