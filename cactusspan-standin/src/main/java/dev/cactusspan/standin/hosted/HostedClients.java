package dev.cactusspan.standin.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.text.JsonText;
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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients and a trainer of the emulated platform. They try again at another process as the platform
 * promises, and check what they are answered.
 */
public final class HostedClients {
    private static final Duration CONNECT = Duration.ofSeconds(1);
    private static final Duration CALL = Duration.ofSeconds(3);
    private static final long QUOTE_MS = 6_000;
    private static final long PAUSE_MS = 100;
    private static final String HOST = "127.0.0.1";

    /** The key that clients send. */
    static final String KEY = "key-acme-1";

    /** The client account that holds the key. */
    static final String ACCOUNT = "acme";

    private final List<GatewayNode> mNodes;
    private final ObservationLog mLedger;
    private final String mModel;
    private final HttpClient mHttp = HttpClient.newBuilder().connectTimeout(CONNECT).build();
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
     * @param nodes the processes to call
     * @param ledger what targets saw
     * @param model the model that the trainer trains
     */
    public HostedClients(List<GatewayNode> nodes, ObservationLog ledger, String model) {
        mNodes = nodes;
        mLedger = ledger;
        mModel = model;
    }

    private synchronized GatewayNode next() {
        return mNodes.get(Math.floorMod(mNext++, mNodes.size()));
    }

    private HttpRequest.Builder call(GatewayNode node, String path, String id) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.clientPort() + path))
                .timeout(CALL)
                .header("X-Api-Key", KEY)
                .header("Attempt-Id", id);
    }

    // Quotes

    /** Sends a quote, tries again within its deadline, and checks the answer. */
    public void sendQuote() {
        mQuotes.incrementAndGet();
        long untilMs = System.currentTimeMillis() + QUOTE_MS;
        while (System.currentTimeMillis() < untilMs) {
            String id = UUID.randomUUID().toString().replace("-", "");
            try {
                HttpResponse<String> answer =
                        mHttp.send(
                                call(next(), "/quotes/" + id, id)
                                        .header("Deadline-Ms", "2500")
                                        .POST(HttpRequest.BodyPublishers.ofString("q"))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
                if (checked(id, answer)) {
                    mQuotesAnswered.incrementAndGet();
                    return;
                }
            } catch (IOException e) {
                // The process is gone or slow; the next one is asked.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            pause();
        }
    }

    private boolean checked(String id, HttpResponse<String> answer) {
        boolean isSuccess = answer.statusCode() == 200;
        if (isSuccess) {
            String stamp = answer.headers().firstValue("Server-Stamp").orElse("");
            boolean isRight =
                    stamp.equals(TargetEmulator.responseDigest(id))
                            && answer.body().equals("echo q of " + id);
            if (!isRight) {
                mLedger.addViolation(id + ": an answer that is not its own");
            }
        }
        boolean isNotRun = answer.statusCode() == 503 || answer.statusCode() == 429;
        if (isNotRun && mLedger.runs(id) > 0) {
            mLedger.addViolation(id + ": was said not to have run, and had");
        }
        if (answer.statusCode() == 401 || answer.statusCode() == 404) {
            mLedger.addViolation(id + ": a proper request was denied with " + answer.statusCode());
        }
        return isSuccess;
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Steps

    /**
     * Submits a step, reads all its results, checks them, and ends it.
     *
     * @param step number of the step
     * @param minVersion the oldest weight version that it allows
     * @param items how many items it has
     * @param dueMs time within which it is on time
     * @param boundMs time after which the trainer gives up
     */
    public void runStep(int step, long minVersion, int items, long dueMs, long boundMs) {
        mSteps.incrementAndGet();
        String batch = UUID.randomUUID().toString().replace("-", "");
        long startMs = System.currentTimeMillis();
        if (!submit(batch, body(batch, step, minVersion, items), startMs + boundMs)) {
            return;
        }
        Map<Integer, String> byPosition = new HashMap<>();
        Set<String> ids = new HashSet<>();
        while (byPosition.size() < items && System.currentTimeMillis() < startMs + boundMs) {
            read(batch, minVersion, byPosition, ids);
        }
        long tookMs = System.currentTimeMillis() - startMs;
        if (byPosition.size() == items && tookMs <= dueMs) {
            mStepsOnTime.incrementAndGet();
        }
        mSamples.addAndGet(byPosition.size());
        reread(batch, byPosition);
        end(batch, startMs + boundMs + QUOTE_MS);
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
            int status = send(next(), "/train/" + batch, batch, body);
            if (status == 202) {
                return true;
            }
            if (status >= 400 && status < 500 && status != 429) {
                mLedger.addViolation(batch + ": a proper batch was refused with " + status);
                return false;
            }
            pause();
        }
        return false;
    }

    private int send(GatewayNode node, String path, String id, byte[] body) {
        try {
            return mHttp.send(
                            call(node, path, id)
                                    .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException e) {
            // No answer: the outcome is open, and the same batch is sent again.
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private void read(
            String batch, long minVersion, Map<Integer, String> byPosition, Set<String> ids) {
        int after = byPosition.size();
        JsonNode view = results(batch, after);
        int position = after;
        for (JsonNode result : view.path("results")) {
            byPosition.put(position++, result.toString());
            check(batch, minVersion, result, ids);
        }
    }

    private JsonNode results(String batch, int after) {
        try {
            HttpResponse<byte[]> answer =
                    mHttp.send(
                            call(next(), "/-/lots/" + batch + "?after=" + after, "r")
                                    .header("Wait-Ms", "400")
                                    .GET()
                                    .build(),
                            HttpResponse.BodyHandlers.ofByteArray());
            if (answer.statusCode() == 404) {
                mLedger.addViolation(batch + ": an accepted batch was said to be absent");
            }
            if (answer.statusCode() == 200) {
                return JsonText.read(answer.body(), JsonNode.class).get();
            }
        } catch (IOException e) {
            // The process is gone or slow; the next one is asked.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        pause();
        return JsonText.mapper().createObjectNode();
    }

    private void check(String batch, long minVersion, JsonNode result, Set<String> ids) {
        String id = result.path("id").asText();
        if (!ids.add(id)) {
            mLedger.addViolation(batch + ": item " + id + " stands at two positions");
        }
        List<String> text = TargetEmulator.eventTexts(id);
        boolean isRight =
                result.path("state").asText().equals("completed")
                        && result.path("text").asText().equals(String.join("\n", text))
                        && result.path("score")
                                .asText()
                                .equals(TargetEmulator.responseDigest("s-" + id));
        if (!isRight || !isLabelled(id, minVersion, text.size(), result.path("versions"))) {
            mSamplesWrong.incrementAndGet();
            mLedger.addViolation(batch + ": wrong result " + result);
        }
    }

    /** Checks that each named version may have produced an event, and none is too old. */
    private boolean isLabelled(String item, long minVersion, int events, JsonNode versions) {
        Set<Long> named = new HashSet<>();
        versions.forEach(v -> named.add(v.asLong()));
        Set<Long> possible = new HashSet<>();
        for (int n = 1; n <= events; n++) {
            List<Long> ofEvent = mLedger.versionsOf(item, n);
            if (ofEvent.stream().noneMatch(named::contains)) {
                return false;
            }
            possible.addAll(ofEvent);
        }
        return !named.isEmpty()
                && possible.containsAll(named)
                && named.stream().allMatch(v -> v >= minVersion);
    }

    /** Reads again from the start, where all positions must hold what they held. */
    private void reread(String batch, Map<Integer, String> byPosition) {
        int position = 0;
        for (JsonNode result : results(batch, 0).path("results")) {
            String held = byPosition.get(position++);
            if (held != null && !held.equals(result.toString())) {
                mLedger.addViolation(
                        batch + ": position " + (position - 1) + " holds another result");
            }
        }
    }

    private void end(String batch, long untilMs) {
        while (System.currentTimeMillis() < untilMs) {
            try {
                int status =
                        mHttp.send(
                                        call(next(), "/-/lots/" + batch, "d").DELETE().build(),
                                        HttpResponse.BodyHandlers.discarding())
                                .statusCode();
                if (status == 200) {
                    return;
                }
            } catch (IOException e) {
                // The next process is asked.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            pause();
        }
    }

    /**
     * Sums up what clients got.
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
