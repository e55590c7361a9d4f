package review3;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/** Sends what clients and trainers send. */
final class Client {
    /** Keeps connections open for many requests. */
    private static final HttpClient sHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();

    private static final AtomicLong sIds = new AtomicLong(System.nanoTime());

    /** An answer; status 0 if there was none. */
    record Answer(int status, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Client() {}

    static String newId() {
        return String.format("%016x", sIds.addAndGet(0x9e3779b97f4a7c15L));
    }

    static Answer call(Record record, Entry entry, String method, String path, Map<String, String> headers, byte[] body, long timeoutMs)
            throws InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.clientPort() + path))
                        .timeout(Duration.ofMillis(timeoutMs))
                        .method(method, HttpRequest.BodyPublishers.ofByteArray(body));
        headers.forEach(request::header);
        if (!headers.containsKey("X-Api-Key")) {
            request.header("X-Api-Key", Deployment.KEY);
        }
        try {
            HttpResponse<byte[]> answer = sHttp.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            record.add("answer  %s %s at %s: %d, %d bytes", method, path, entry.name(), answer.statusCode(), answer.body().length);
            return new Answer(answer.statusCode(), answer.body());
        } catch (IOException e) {
            record.add("answer  %s %s at %s: none, %s", method, path, entry.name(), e);
            return new Answer(0, new byte[0]);
        }
    }

    /** Returns a batch submission whose bodies together have about the given size. */
    static byte[] batch(int step, List<String> items, int bodiesBytes, long seed) {
        Random random = new Random(seed);
        List<Map<String, Object>> list = new ArrayList<>();
        for (String id : items) {
            byte[] body = new byte[Math.max(8, bodiesBytes / items.size())];
            random.nextBytes(body);
            Map<String, Object> item = new HashMap<>();
            item.put("id", id);
            item.put("path", "/train/" + id.substring(0, 4));
            item.put("headers", Map.of("Model", Deployment.MODEL, "Token-Usage", "540,400", "Prompt-Prefix", "9c2e41:300,5d07b8:240"));
            item.put("body", Base64.getEncoder().encodeToString(body));
            item.put("tokens", 940);
            item.put("group", "g" + list.size() / 4);
            list.add(item);
        }
        Map<String, Object> batch = new HashMap<>();
        batch.put("step", step);
        batch.put("model", Deployment.MODEL);
        batch.put("min_version", 1);
        batch.put("target_groups", Math.max(1, items.size() / 4));
        batch.put("items", list);
        return Json.write(batch).getBytes(StandardCharsets.UTF_8);
    }

    static List<String> itemIds(int count) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ids.add(newId());
        }
        return ids;
    }

    static Answer submit(Record record, Entry entry, String id, byte[] batch, long timeoutMs) throws InterruptedException {
        record.add("submit  %s at %s, %d bytes", id, entry.name(), batch.length);
        return call(record, entry, "POST", "/train/" + id.substring(0, 6), Map.of("Attempt-Id", id, "Deadline-Ms", Long.toString(timeoutMs), "Content-Type", "application/json"), batch, timeoutMs);
    }

    static Answer results(Record record, Entry entry, String id, int after, long waitMs) throws InterruptedException {
        return call(record, entry, "GET", "/-/lots/" + id + "?after=" + after, waitMs > 0 ? Map.of("Wait-Ms", Long.toString(waitMs)) : Map.of(), new byte[0], waitMs + 2_500);
    }

    static Answer item(Record record, Entry entry, String id, String item, long timeoutMs) throws InterruptedException {
        return call(record, entry, "GET", "/-/items/" + id + "?id=" + item, Map.of(), new byte[0], timeoutMs);
    }

    static Answer end(Record record, Entry entry, String id) throws InterruptedException {
        return call(record, entry, "DELETE", "/-/lots/" + id, Map.of(), new byte[0], 5_000);
    }
}
