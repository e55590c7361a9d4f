package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound worker: a model engine that generates events, or a plain service that answers. */
final class Worker implements AutoCloseable {
    private static final long HEARTBEAT_MS = 1_200;

    private final String mId;
    private final String mService;
    private final String mModel;
    private final int mSlots;
    private final long mEventMs;
    private final int mEvents;
    private final int mEventChars;
    private final Semaphore mFree;
    private final Record mRecord;
    private final HttpServer mServer;
    private final Kv mKv;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final Map<String, Integer> mRunning = new ConcurrentHashMap<>();
    private final CountDownLatch mFatal = new CountDownLatch(1);
    private volatile String mFatalBody = "";
    private volatile int mFatalCount = Integer.MAX_VALUE;
    private volatile boolean mIsCrashed;
    private final AtomicInteger mRuns = new AtomicInteger();

    /** A worker of a service; one with a model generates {@code events} events for each request. */
    Worker(Kv kv, Record record, String id, String service, String model, int slots, int events, long eventMs)
            throws IOException {
        this(kv, record, id, service, model, slots, events, eventMs, 0);
    }

    /** An engine whose events bear so many further characters each. */
    Worker(Kv kv, Record record, String id, String service, String model, int slots, int events, long eventMs, int eventChars)
            throws IOException {
        mEventChars = eventChars;
        mKv = kv;
        mId = id;
        mService = service;
        mModel = model;
        mSlots = slots;
        mEvents = events;
        mEventMs = eventMs;
        mFree = new Semaphore(slots);
        mRecord = record;
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        mServer.setExecutor(mThreads);
        mServer.createContext("/", this::handle);
        mServer.start();
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", mService);
        entry.put("address", "127.0.0.1:" + mServer.getAddress().getPort());
        entry.put("zone", "zone-a");
        entry.put("version", "v1");
        entry.put("slots", mSlots);
        entry.put("state", "ready");
        entry.put("cold_remaining_ms", 0);
        entry.put("sequence", 0);
        entry.put("born", System.currentTimeMillis());
        if (!mModel.isEmpty()) {
            entry.put("models", List.of(Map.of("name", mModel, "version", 1, "adapters", List.of())));
        }
        kv.put("servers/" + id, entry);
    }

    /**
     * Crashes: all connections end without an answer, and new ones are refused. It sends nothing,
     * so its entry goes after three intervals of silence.
     */
    void crash() {
        mRecord.add("crash   %s", mId);
        mIsCrashed = true;
        mThreads.shutdownNow();
        mServer.stop(0);
        Thread silence = new Thread(() -> {
            try {
                Thread.sleep(3 * HEARTBEAT_MS);
                mKv.delete("servers/" + mId);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        silence.setDaemon(true);
        silence.start();
    }

    /** Crashes at the moment when so many requests with a body run at once. */
    boolean crashWhenRunning(String body, int count, long timeoutMs) throws InterruptedException {
        mFatalCount = count;
        mFatalBody = body;
        if (!mFatal.await(timeoutMs, TimeUnit.MILLISECONDS)) {
            return false;
        }
        crash();
        return true;
    }

    /** Starts the worker again, under a new id. */
    Worker comeBack() throws IOException {
        mRecord.add("back    %s", mId + "b");
        return new Worker(mKv, mRecord, mId + "b", mService, mModel, mSlots, mEvents, mEventMs, mEventChars);
    }

    /** The whole text of an item. */
    static String text(String item, int events) {
        StringBuilder text = new StringBuilder();
        for (int n = 1; n <= events; n++) {
            text.append(n == 1 ? "" : "\n").append(item).append(':').append(n);
        }
        return text.toString();
    }

    private void handle(HttpExchange exchange) {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            if (exchange.getRequestURI().getPath().equals("/-/report")) {
                send(exchange, 200, Json.write(Map.of("stage", "both", "running", mSlots - mFree.availablePermits(), "waiting", 0, "busy", false, "sequence", 0)));
                return;
            }
            String id = exchange.getRequestHeaders().getFirst("Attempt-Id");
            exchange.getResponseHeaders().set("Attempt-Id", id);
            String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
            if (expected != null && !expected.equals(mId)) {
                exchange.getResponseHeaders().set("Not-Executed", "1");
                send(exchange, 421, "");
                return;
            }
            if (!mFree.tryAcquire()) {
                exchange.getResponseHeaders().set("Not-Executed", "1");
                send(exchange, 503, "");
                return;
            }
            try {
                mRuns.incrementAndGet();
                String text = body.length < 100 ? new String(body, StandardCharsets.UTF_8) : "";
                if (mRunning.merge(text, 1, Integer::sum) >= mFatalCount && text.equals(mFatalBody)) {
                    mIsCrashed = true;
                    mFatal.countDown();
                }
                mRecord.add("run     %s at %s, %d bytes", id, mId, body.length);
                exchange.getResponseHeaders().set("Server-Stamp", "stamp." + id);
                if (mModel.isEmpty()) {
                    Thread.sleep(mEventMs);
                    if (!mIsCrashed) {
                        send(exchange, 200, "answer to " + id);
                    }
                } else {
                    generate(exchange, id);
                }
            } finally {
                mRunning.merge(body.length < 100 ? new String(body, StandardCharsets.UTF_8) : "", -1, Integer::sum);
                mFree.release();
            }
        } catch (IOException e) {
            // The caller has gone.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void generate(HttpExchange exchange, String id) throws IOException, InterruptedException {
        String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        exchange.getResponseHeaders().set("Weight-Versions", "1");
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            for (int n = last == null ? 1 : Integer.parseInt(last) + 1; n <= mEvents; n++) {
                Thread.sleep(mEventMs);
                out.write(("id: " + n + "\ndata: " + id + ":" + n + "x".repeat(mEventChars) + "\n\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        }
    }

    private static void send(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            try (OutputStream out = exchange.getResponseBody()) {
                out.write(bytes);
            }
        }
    }

    int runs() {
        return mRuns.get();
    }

    @Override
    public void close() {
        if (!mIsCrashed) {
            mServer.stop(0);
            mThreads.shutdownNow();
        }
    }
}
