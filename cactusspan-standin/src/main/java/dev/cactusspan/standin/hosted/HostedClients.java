package dev.cactusspan.standin.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.text.JsonText;
import java.io.IOException;
import java.net.ProtocolException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Simulates clients and a trainer of the emulated platform. They retry at another process, as the
 * platform promises that its clients do, and verify the responses.
 */
public final class HostedClients {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
    private static final long QUOTE_TIMEOUT_MS = 6_000;
    private static final long RETRY_DELAY_MS = 100;
    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final String HOST = "127.0.0.1";

    /** The key that clients send. */
    static final String KEY = "key-acme-1";

    /** The client account that holds the key. */
    static final String ACCOUNT = "acme";

    private final List<GatewayNode> mNodes;
    private final ObservationLog mObservations;
    private final String mModel;
    private final HttpClient mHttp =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    private final AtomicLong mQuotes = new AtomicLong();
    private final AtomicLong mQuotesAnswered = new AtomicLong();
    private final AtomicLong mSteps = new AtomicLong();
    private final AtomicLong mStepsOnTime = new AtomicLong();
    private final AtomicLong mSamples = new AtomicLong();
    private final AtomicLong mSamplesWrong = new AtomicLong();
    private int mNext;

    /**
     * Creates clients.
     *
     * @param nodes the processes that receive the requests
     * @param observations log of what targets observe
     * @param model the model that the trainer trains
     */
    public HostedClients(List<GatewayNode> nodes, ObservationLog observations, String model) {
        mNodes = nodes;
        mObservations = observations;
        mModel = model;
    }

    private synchronized GatewayNode nextNode() {
        return mNodes.get(Math.floorMod(mNext++, mNodes.size()));
    }

    private HttpRequest.Builder request(GatewayNode node, String path, String id) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.clientPort() + path))
                .timeout(REQUEST_TIMEOUT)
                .header("X-Api-Key", KEY)
                .header("Attempt-Id", id);
    }

    // Quotes

    /** Sends a quote request, retries it within its time limit, and verifies the response. */
    public void sendQuote() {
        mQuotes.incrementAndGet();
        long untilMs = System.currentTimeMillis() + QUOTE_TIMEOUT_MS;
        while (System.currentTimeMillis() < untilMs) {
            String id = UUID.randomUUID().toString().replace("-", "");
            try {
                HttpResponse<String> response =
                        mHttp.send(
                                request(nextNode(), "/quotes/" + id, id)
                                        .header("Deadline-Ms", "2500")
                                        .POST(HttpRequest.BodyPublishers.ofString("q"))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
                if (isSuccess(id, response)) {
                    mQuotesAnswered.incrementAndGet();
                    return;
                }
            } catch (ProtocolException e) {
                mObservations.addViolation(id + ": no HTTP response: " + e.getMessage());
            } catch (IOException e) {
                // The process is down or slow; retry at the next one.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            pause();
        }
    }

    /**
     * Sends a quote request once.
     *
     * @return the HTTP status, zero if there was no response
     */
    int sendQuoteOnce() {
        String id = UUID.randomUUID().toString().replace("-", "");
        return send(nextNode(), "/quotes/" + id, id, "q".getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends a quote request with a large body once.
     *
     * @param bytes length of the body
     * @return the HTTP status, zero if there was no response
     */
    int sendLargeQuote(int bytes) {
        String id = UUID.randomUUID().toString().replace("-", "");
        try {
            return mHttp.send(
                            request(nextNode(), "/quotes/" + id, id)
                                    .timeout(Duration.ofMillis(QUOTE_TIMEOUT_MS))
                                    .header("Deadline-Ms", "5000")
                                    .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[bytes]))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException e) {
            // No response in time.
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    /**
     * Sends the request that crashes the targets that run it, once, and always the same.
     *
     * @return the HTTP status, zero if there was no response
     */
    int sendCrashingRequest() {
        String id = UUID.randomUUID().toString().replace("-", "");
        try {
            return mHttp.send(
                            request(nextNode(), "/quotes/crash", id)
                                    .header("Deadline-Ms", "2500")
                                    .POST(
                                            HttpRequest.BodyPublishers.ofString(
                                                    TargetEmulator.CRASHING_BODY))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException e) {
            // No response in time.
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private boolean isSuccess(String id, HttpResponse<String> response) {
        boolean isSuccess = response.statusCode() == 200;
        if (isSuccess) {
            String stamp = response.headers().firstValue("Server-Stamp").orElse("");
            boolean isCorrect =
                    stamp.equals(TargetEmulator.responseDigest(id))
                            && response.body().equals("echo q of " + id);
            if (!isCorrect) {
                mObservations.addViolation(
                        id
                                + ": the response belongs to another request: stamp "
                                + stamp
                                + ", "
                                + response.body().length()
                                + " characters");
            }
        }
        if (response.statusCode() < MIN_STATUS || response.statusCode() > MAX_STATUS) {
            mObservations.addViolation(id + ": the status is " + response.statusCode());
        }
        boolean isNotExecuted = response.statusCode() == 503 || response.statusCode() == 429;
        if (isNotExecuted && mObservations.runs(id) > 0) {
            mObservations.addViolation(id + ": was reported as not executed, but a target ran it");
        }
        if (response.statusCode() == 401 || response.statusCode() == 404) {
            mObservations.addViolation(
                    id + ": a valid request was rejected with " + response.statusCode());
        }
        return isSuccess;
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Steps

    /**
     * Submits a step, reads and verifies all its results, and deletes its batch.
     *
     * @param step number of the step
     * @param minVersion the oldest weight version that it allows
     * @param items number of its items
     * @param dueMs time within which the step counts as on time, in milliseconds
     * @param timeoutMs time after which the trainer abandons the step, in milliseconds
     */
    public void runStep(int step, long minVersion, int items, long dueMs, long timeoutMs) {
        mSteps.incrementAndGet();
        String batch = UUID.randomUUID().toString().replace("-", "");
        long startMs = System.currentTimeMillis();
        if (!submit(batch, body(batch, step, minVersion, items), startMs + timeoutMs)) {
            return;
        }
        Map<Integer, String> byPosition = new HashMap<>();
        Set<String> ids = new HashSet<>();
        while (byPosition.size() < items && System.currentTimeMillis() < startMs + timeoutMs) {
            readResults(batch, minVersion, byPosition, ids);
        }
        long tookMs = System.currentTimeMillis() - startMs;
        if (byPosition.size() == items && tookMs <= dueMs) {
            mStepsOnTime.incrementAndGet();
        }
        mSamples.addAndGet(byPosition.size());
        checkReread(batch, byPosition);
        delete(batch, startMs + timeoutMs + QUOTE_TIMEOUT_MS);
    }

    private byte[] body(String batch, int step, long minVersion, int items) {
        List<Map<String, Object>> list = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            String id = batch + "-" + i;
            String scorer = "s-" + id;
            list.add(
                    Map.of(
                            "id",
                            id,
                            "path",
                            "/train/" + i,
                            "headers",
                            Map.of("Model", mModel),
                            "body",
                            base64("p"),
                            "tokens",
                            10,
                            "group",
                            "g" + i / 4,
                            "scorer",
                            Map.of(
                                    "id",
                                    scorer,
                                    "host",
                                    HOST,
                                    "path",
                                    "/score/x",
                                    "body",
                                    base64("q"))));
        }
        return JsonText.write(
                Map.of(
                        "step",
                        step,
                        "model",
                        mModel,
                        "min_version",
                        minVersion,
                        "target_groups",
                        items / 4,
                        "items",
                        list));
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private boolean submit(String batch, byte[] body, long untilMs) {
        while (System.currentTimeMillis() < untilMs) {
            GatewayNode node = nextNode();
            CompletableFuture<?> copy = sendCopy(node, batch, body);
            int status = send(node, "/train/" + batch, batch, body);
            copy.cancel(true);
            if (status == 202) {
                return true;
            }
            if (status >= 400 && status < 500 && status != 429) {
                mObservations.addViolation(batch + ": a valid batch was rejected with " + status);
                return false;
            }
            pause();
        }
        return false;
    }

    /**
     * Submits a batch on a connection of its own, at the process that gets it once more at once.
     */
    private CompletableFuture<?> sendCopy(GatewayNode node, String batch, byte[] body) {
        return mHttp.sendAsync(
                request(node, "/train/" + batch, batch)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                        .build(),
                HttpResponse.BodyHandlers.discarding());
    }

    private int send(GatewayNode node, String path, String id, byte[] body) {
        try {
            return mHttp.send(
                            request(node, path, id)
                                    .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException e) {
            // No response: the outcome is unknown, so the same batch is sent again.
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private void readResults(
            String batch, long minVersion, Map<Integer, String> byPosition, Set<String> ids) {
        int after = byPosition.size();
        JsonNode view = fetchResults(batch, after);
        int position = after;
        for (JsonNode result : view.path("results")) {
            byPosition.put(position++, result.toString());
            checkResult(batch, minVersion, result, ids);
        }
    }

    private JsonNode fetchResults(String batch, int after) {
        try {
            HttpResponse<byte[]> response =
                    mHttp.send(
                            request(nextNode(), "/-/lots/" + batch + "?after=" + after, "r")
                                    .header("Wait-Ms", "400")
                                    .GET()
                                    .build(),
                            HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() == 404) {
                mObservations.addViolation(batch + ": an accepted batch was reported as not found");
            }
            if (response.statusCode() == 200) {
                return JsonText.read(response.body(), JsonNode.class).get();
            }
        } catch (IOException e) {
            // The process is down or slow; retry at the next one.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        pause();
        return JsonText.mapper().createObjectNode();
    }

    private void checkResult(String batch, long minVersion, JsonNode result, Set<String> ids) {
        String id = result.path("id").asText();
        if (!ids.add(id)) {
            mObservations.addViolation(batch + ": item " + id + " appears at two positions");
        }
        List<String> text = TargetEmulator.eventTexts(id);
        boolean isCorrect =
                result.path("state").asText().equals("completed")
                        && result.path("text").asText().equals(String.join("\n", text))
                        && result.path("score")
                                .asText()
                                .equals(TargetEmulator.responseDigest("s-" + id));
        if (!isCorrect || !hasValidVersions(id, minVersion, text.size(), result.path("versions"))) {
            mSamplesWrong.incrementAndGet();
            mObservations.addViolation(batch + ": wrong result " + result);
        }
    }

    /**
     * Returns whether each event was generated under a reported version, each reported version may
     * have generated an event, and none is too old.
     */
    private boolean hasValidVersions(String item, long minVersion, int events, JsonNode versions) {
        Set<Long> reported = new HashSet<>();
        versions.forEach(v -> reported.add(v.asLong()));
        Set<Long> possible = new HashSet<>();
        for (int n = 1; n <= events; n++) {
            List<Long> ofEvent = mObservations.versionsOf(item, n);
            if (ofEvent.stream().noneMatch(reported::contains)) {
                return false;
            }
            possible.addAll(ofEvent);
        }
        return !reported.isEmpty()
                && possible.containsAll(reported)
                && reported.stream().allMatch(v -> v >= minVersion);
    }

    /** Reads all results again and checks that no position has changed. */
    private void checkReread(String batch, Map<Integer, String> byPosition) {
        int position = 0;
        for (JsonNode result : fetchResults(batch, 0).path("results")) {
            String previous = byPosition.get(position++);
            if (previous != null && !previous.equals(result.toString())) {
                mObservations.addViolation(
                        batch + ": position " + (position - 1) + " holds another result");
            }
        }
    }

    private void delete(String batch, long untilMs) {
        while (System.currentTimeMillis() < untilMs) {
            try {
                int status =
                        mHttp.send(
                                        request(nextNode(), "/-/lots/" + batch, "d")
                                                .DELETE()
                                                .build(),
                                        HttpResponse.BodyHandlers.discarding())
                                .statusCode();
                if (status == 200) {
                    return;
                }
            } catch (IOException e) {
                // Retry at the next process.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            pause();
        }
    }

    /**
     * Returns the counts of requests and results.
     *
     * @return counts by name
     */
    public Map<String, Long> counts() {
        Map<String, Long> counts = new java.util.LinkedHashMap<>();
        counts.put("steps", mSteps.get());
        counts.put("steps_on_time", mStepsOnTime.get());
        counts.put("samples", mSamples.get());
        counts.put("samples_wrong", mSamplesWrong.get());
        counts.put("quotes", mQuotes.get());
        counts.put("quotes_answered", mQuotesAnswered.get());
        return counts;
    }
}
