import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Calls of trainers: batch submissions, reads and ends. */
final class Batches {
    private Batches() {}

    /** Builds a submission; each item has a body of the given length and of its own. */
    static byte[] body(
            String id, int step, int items, int bodyBytes, long minVersion, boolean isScored) {
        Random random = new Random(id.hashCode());
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            byte[] body = new byte[bodyBytes];
            random.nextBytes(body);
            String item = id + "-" + i;
            Map<String, Object> fields =
                    new java.util.LinkedHashMap<>(
                            Map.of(
                                    "id",
                                    item,
                                    "path",
                                    "/train/" + i,
                                    "headers",
                                    Map.of(
                                            "Model",
                                            Cluster.MODEL,
                                            "Token-Usage",
                                            "540,400",
                                            "Prompt-Prefix",
                                            "9c2e41:300," + Integer.toHexString(i) + "a:240"),
                                    "body",
                                    Base64.getEncoder().encodeToString(body),
                                    "tokens",
                                    940,
                                    "group",
                                    "g" + i / 4));
            if (isScored) {
                fields.put(
                        "scorer",
                        Map.of(
                                "id",
                                "s" + item,
                                "host",
                                Cluster.HOST,
                                "path",
                                "/score/x",
                                "body",
                                "cQ=="));
            }
            list.add(fields);
        }
        return Main.json(
                Map.of(
                        "step",
                        step,
                        "model",
                        Cluster.MODEL,
                        "min_version",
                        minVersion,
                        "target_groups",
                        Math.max(1, items / 4 * 9 / 10),
                        "items",
                        list));
    }

    /** Sends a submission once; returns the status, 0 if there was no answer. */
    static int submit(Cluster c, Cluster.Node node, String id, byte[] body) {
        return send(
                c,
                node.request("/train/" + id)
                        .header("Attempt-Id", id)
                        .header("Deadline-Ms", "12000")
                        .header("Content-Type", "application/json")
                        .timeout(Duration.ofSeconds(12))
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                        .build());
    }

    /** Ends a batch; returns the status, 0 if there was no answer. */
    static int end(Cluster c, Cluster.Node node, String id) {
        return send(
                c, node.request("/-/lots/" + id).timeout(Duration.ofSeconds(3)).DELETE().build());
    }

    private static int send(Cluster c, HttpRequest request) {
        try {
            return c.http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    /** Reads results; returns the status and the body. */
    static Map.Entry<Integer, JsonNode> read(Cluster c, Cluster.Node node, String id, int after) {
        try {
            HttpResponse<byte[]> answer =
                    c.http.send(
                            node.request("/-/lots/" + id + "?after=" + after)
                                    .header("Wait-Ms", "1000")
                                    .timeout(Duration.ofMillis(2_500))
                                    .build(),
                            HttpResponse.BodyHandlers.ofByteArray());
            JsonNode body =
                    answer.statusCode() == 200
                            ? Kv.JSON.readTree(answer.body())
                            : Kv.JSON.createObjectNode();
            return Map.entry(answer.statusCode(), body);
        } catch (IOException e) {
            return Map.entry(0, Kv.JSON.createObjectNode());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Map.entry(0, Kv.JSON.createObjectNode());
        }
    }
}
