package dev.cactusspan.standin;

import dev.cactusspan.text.CompletionEvent;
import dev.cactusspan.text.EventStreamParser;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Sends the requests of several client accounts: streamed and complete completions, seat holds and
 * queries.
 */
final class DemoCallers implements Runnable {
    private static final int THREADS = 16;
    private static final int TOKENS = 8;
    private static final long TIMEOUT_S = 50;
    private static final long SEED = 7;
    private static final long MAX_MICROS = 60_000_000;
    private static final String HOLDS = "/v1/services/booking/holds";
    private static final List<String> OFFICES =
            List.of("box-office-dar", "box-office-arusha", "box-office-zanzibar");

    private final DemoClient mClient;
    private final List<URI> mEntries;
    private final Map<String, String> mKeys;
    private final int mRequests;
    private final Histogram mMicros = new ConcurrentHistogram(MAX_MICROS, 3);
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mRefusedNotRun = new AtomicInteger();
    private final AtomicInteger mOutcomeUnknown = new AtomicInteger();
    private final AtomicInteger mWrong = new AtomicInteger();
    private final ConcurrentMap<String, Integer> mFailures = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, String> mHolds = new ConcurrentHashMap<>();

    DemoCallers(DemoClient client, List<URI> entries, Map<String, String> keys, int requests) {
        mClient = client;
        mEntries = entries;
        mKeys = keys;
        mRequests = requests;
    }

    @Override
    public void run() {
        ExecutorService pool = Executors.newFixedThreadPool(THREADS);
        SplittableRandom random = new SplittableRandom(SEED);
        for (int i = 0; i < mRequests; i++) {
            int number = i;
            SplittableRandom own = random.split();
            pool.execute(() -> request(number, own));
        }
        pool.shutdown();
        try {
            if (!pool.awaitTermination(TIMEOUT_S, TimeUnit.SECONDS)) {
                mWrong.incrementAndGet();
                pool.shutdownNow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void request(int number, SplittableRandom random) {
        switch (number % 4) {
            case 0 -> complete(number, random, false);
            case 1 -> complete(number, random, true);
            case 2 -> hold(number, random);
            default -> query(random);
        }
    }

    private void complete(int number, SplittableRandom random, boolean isStreamed) {
        String prompt = "query " + number % 50 + " of a festival guest";
        Map<String, Object> body =
                Map.of(
                        "model", "lantern-lm",
                        "prompt", prompt,
                        "max_tokens", TOKENS,
                        "stream", isStreamed);
        String account = random.nextInt(16) > 0 ? "festival-web" : "tour-partners";
        DemoClient.Reply reply = timed("POST", "/v1/completions", account, random, "", body);
        if (!reply.isOk()) {
            return;
        }
        String text =
                isStreamed
                        ? joinEvents(reply)
                        : reply.json().path("choices").path(0).path("text").asText();
        check(text.equals(EngineStandIn.expectedText(prompt, TOKENS)));
    }

    private static String joinEvents(DemoClient.Reply reply) {
        StringBuilder text = new StringBuilder();
        EventStreamParser events =
                new EventStreamParser(e -> text.append(CompletionEvent.of(e).text()));
        events.feed(reply.body());
        return events.isComplete() ? text.toString() : "cut";
    }

    /** Places a hold, and repeats every fifth one with the same key, possibly at another entry. */
    private void hold(int number, SplittableRandom random) {
        String account = OFFICES.get(random.nextInt(OFFICES.size()));
        String key = "hold-" + number;
        Map<String, Object> body = Map.of("seat", number);
        DemoClient.Reply first = timed("POST", HOLDS, account, random, key, body);
        if (first.isOk()) {
            mHolds.put(key, "placed");
            check(first.json().path("key").asText().equals(key));
        } else if (!first.isNotExecuted()) {
            mHolds.put(key, "unknown");
        }
        if (number % 5 == 0 && first.isOk()) {
            DemoClient.Reply repeated = timed("POST", HOLDS, account, random, key, body);
            check(!repeated.isOk() || repeated.text().equals(first.text()));
        }
    }

    private void query(SplittableRandom random) {
        String text = "lantern " + random.nextInt();
        DemoClient.Reply reply =
                timed("POST", "/v1/services/booking/queries", "box-office-dar", random, "", text);
        if (reply.isOk()) {
            check(reply.text().equals("\"" + text + "\""));
        }
    }

    private DemoClient.Reply timed(
            String method,
            String path,
            String account,
            SplittableRandom random,
            String idempotencyKey,
            Object body) {
        URI entry = mEntries.get(random.nextInt(mEntries.size()));
        Map<String, String> headers = new ConcurrentHashMap<>();
        headers.put("Authorization", "Bearer " + mKeys.get(account));
        headers.put("Content-Type", "application/json");
        if (!idempotencyKey.isEmpty()) {
            headers.put("Idempotency-Key", idempotencyKey);
        }
        long startNs = System.nanoTime();
        DemoClient.Reply reply = mClient.send(method, entry.resolve(path), headers, body);
        long micros = (System.nanoTime() - startNs) / 1_000;
        mMicros.recordValue(Math.min(MAX_MICROS, micros));
        count(reply);
        return reply;
    }

    private void count(DemoClient.Reply reply) {
        if (!reply.isOk()) {
            String outcome = reply.status() == 0 ? "connection broke" : reply.errorKind();
            mFailures.merge(outcome, 1, Integer::sum);
        }
        if (reply.isOk()) {
            mAnswered.incrementAndGet();
        } else if (reply.isNotExecuted()) {
            mRefusedNotRun.incrementAndGet();
        } else {
            mOutcomeUnknown.incrementAndGet();
        }
    }

    private void check(boolean isCorrect) {
        if (!isCorrect) {
            mWrong.incrementAndGet();
        }
    }

    // Accessors

    int requests() {
        return mAnswered.get() + mRefusedNotRun.get() + mOutcomeUnknown.get();
    }

    int answered() {
        return mAnswered.get();
    }

    int refusedNotRun() {
        return mRefusedNotRun.get();
    }

    int outcomeUnknown() {
        return mOutcomeUnknown.get();
    }

    int wrong() {
        return mWrong.get();
    }

    Map<String, String> holds() {
        return mHolds;
    }

    Map<String, Integer> failures() {
        return mFailures;
    }

    double milliseconds(double percentile) {
        return mMicros.getValueAtPercentile(percentile) / 1_000.0;
    }
}
