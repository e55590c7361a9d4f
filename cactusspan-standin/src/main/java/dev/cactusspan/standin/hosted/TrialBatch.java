package dev.cactusspan.standin.hosted;

import dev.cactusspan.text.JsonText;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.stream.IntStream;

/** A batch of some items that are alike. */
final class TrialBatch {
    /** A version that no target loads, so that no item runs. */
    static final long NO_VERSION = 1_000;

    private static final int ITEMS = 6;
    private static final int ACCEPTED = 202;

    private TrialBatch() {}

    /** Submits a batch of items with the given path and body, and returns its id. */
    static String submit(
            HttpClient http, GatewayNode node, String path, long minVersion, byte[] body)
            throws IOException, InterruptedException {
        String batch = UUID.randomUUID().toString().replace("-", "");
        List<Map<String, Object>> items =
                IntStream.range(0, ITEMS).mapToObj(i -> item(batch + "-" + i, path, body)).toList();
        Map<String, Object> fields =
                Map.of(
                        "step",
                        0,
                        "model",
                        HostedDeployment.MODEL,
                        "min_version",
                        minVersion,
                        "target_groups",
                        1,
                        "items",
                        items);
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://127.0.0.1:"
                                                + node.clientPort()
                                                + "/train/"
                                                + batch))
                        .header("X-Api-Key", HostedClients.KEY)
                        .header("Attempt-Id", batch)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(JsonText.write(fields)))
                        .build();
        int status = http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        if (status != ACCEPTED) {
            throw new IOException("the batch was answered with " + status);
        }
        return batch;
    }

    private static Map<String, Object> item(String id, String path, byte[] body) {
        return Map.of(
                "id",
                id,
                "path",
                path,
                "headers",
                Map.of("Model", HostedDeployment.MODEL),
                "body",
                Base64.getEncoder().encodeToString(body),
                "tokens",
                10,
                "group",
                "g");
    }
}
