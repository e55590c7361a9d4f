import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for a worker, a plain service or a model engine, as PROTOCOL.md describes them. */
final class Worker implements AutoCloseable {
    /** A run of a request, as the worker saw it. */
    record Run(String id, String worker, long atMs, String tenant, String lastEvent, String path) {}

    /** An order of a weight version. */
    record Order(String worker, String holder, long fence, long version, long atMs, int status) {}

    /** Answers a request in another way than usual; returns true if it did. */
    interface Special {
        boolean answer(Worker worker, HttpExchange exchange, String id, byte[] body)
                throws IOException;
    }

    static final ConcurrentLinkedQueue<Run> RUNS = new ConcurrentLinkedQueue<>();
    static final ConcurrentLinkedQueue<Order> ORDERS = new ConcurrentLinkedQueue<>();

    final String id;
    final String service;
    final String model;
    private final Kv mStore;
    private final String mIp;
    private final HttpServer mServer;
    private final Map<String, AtomicInteger> mRunning = new ConcurrentHashMap<>();
    private final AtomicInteger mBusyRuns = new AtomicInteger();
    private final AtomicLong mSequence = new AtomicLong();
    private final AtomicLong mVersion = new AtomicLong(1);
    private final AtomicLong mFence = new AtomicLong();
    private volatile boolean mIsLoading;
    volatile String state = "ready";
    volatile long eventMs = 20;
    volatile long workMs = 30;
    volatile int slots = 8;
    volatile boolean checksFences = true;
    volatile Special special = (w, e, i, b) -> false;
    final long born = System.currentTimeMillis();

    Worker(Kv store, String ip, String id, String service, String model) throws IOException {
        mStore = store;
        mIp = ip;
        this.id = id;
        this.service = service;
        this.model = model;
        mServer = HttpServer.create(new InetSocketAddress(ip, 0), 500);
        mServer.setExecutor(Executors.newCachedThreadPool());
        mServer.createContext("/", this::handle);
        mServer.start();
        register();
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Number of events of each text, 0 if they differ; and the bytes of each event. */
    static volatile int eventCount;

    static volatile int eventBytes;

    /** Events of an item: any worker makes the same ones. */
    static List<String> events(String item) {
        int count = eventCount > 0 ? eventCount : 5 + Math.floorMod(item.hashCode(), 20);
        List<String> events = new ArrayList<>();
        Random random = new Random(item.hashCode());
        for (int n = 1; n <= count; n++) {
            StringBuilder event = new StringBuilder(item + "." + n);
            while (event.length() < eventBytes) {
                event.append(Long.toHexString(random.nextLong()));
            }
            events.add(event.toString());
        }
        return events;
    }

    static String stamp(String id) {
        return "stamp." + Integer.toHexString(id.hashCode());
    }

    void register() {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", mIp + ":" + mServer.getAddress().getPort());
        entry.put("zone", "zone-a");
        entry.put("version", "v1");
        entry.put("slots", slots);
        entry.put("state", state);
        entry.put("cold_remaining_ms", 0);
        entry.put("sequence", mSequence.get());
        entry.put("born", born);
        if (!model.isEmpty()) {
            entry.put("stage", "both");
            entry.put(
                    "models",
                    List.of(
                            Map.of(
                                    "name",
                                    model,
                                    "version",
                                    mVersion.get(),
                                    "adapters",
                                    List.of())));
        }
        mStore.write("servers/" + id, entry);
    }

    private static String header(HttpExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            String path = exchange.getRequestURI().getPath();
            byte[] body = exchange.getRequestBody().readAllBytes();
            if (path.equals("/-/report")) {
                Main.answer(
                        exchange,
                        200,
                        Main.json(
                                Map.of(
                                        "running",
                                        mBusyRuns.get(),
                                        "waiting",
                                        0,
                                        "busy",
                                        mIsLoading,
                                        "sequence",
                                        mSequence.get())));
                return;
            }
            if (path.equals("/-/order")) {
                order(exchange, Kv.JSON.readTree(body));
                return;
            }
            run(exchange, body);
        } catch (IOException e) {
            // The caller has closed the connection: the request is dropped.
            exchange.close();
        }
    }

    private void order(HttpExchange exchange, JsonNode order) throws IOException {
        long fence = order.path("fence").asLong();
        long version = order.path("version").asLong();
        int status;
        synchronized (this) {
            String expected = header(exchange, "Expect-Instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                status = 421;
            } else if (checksFences && fence < mFence.get()) {
                status = 412;
            } else if (mIsLoading
                    || (order.has("expected")
                            && order.path("expected").asLong() != mSequence.get())) {
                status = 409;
            } else if (version == mVersion.get()) {
                status = 200;
            } else {
                mFence.set(Math.max(fence, mFence.get()));
                mSequence.incrementAndGet();
                mIsLoading = true;
                status = 202;
                Thread load =
                        new Thread(
                                () -> {
                                    Main.pause(900);
                                    mVersion.set(version);
                                    mIsLoading = false;
                                    register();
                                });
                load.setDaemon(true);
                load.start();
            }
        }
        ORDERS.add(
                new Order(id, order.path("holder").asText(), fence, version, now(), status));
        Main.answer(exchange, status, new byte[0]);
    }

    private void run(HttpExchange exchange, byte[] body) throws IOException {
        String attempt = header(exchange, "Attempt-Id");
        exchange.getResponseHeaders().set("Attempt-Id", attempt);
        if (!header(exchange, "Expect-Instance").isEmpty()
                && !header(exchange, "Expect-Instance").equals(id)) {
            refuse(exchange, 421);
            return;
        }
        if (mIsLoading || mBusyRuns.get() >= slots) {
            refuse(exchange, 503);
            return;
        }
        RUNS.add(
                new Run(
                        attempt,
                        id,
                        now(),
                        header(exchange, "Tenant"),
                        header(exchange, "Last-Event-Id"),
                        exchange.getRequestURI().toString()));
        mBusyRuns.incrementAndGet();
        try {
            if (special.answer(this, exchange, attempt, body)) {
                return;
            }
            exchange.getResponseHeaders().set("Server-Stamp", stamp(attempt));
            if (model.isEmpty()) {
                Main.pause(workMs);
                Main.answer(
                        exchange,
                        200,
                        ("done " + attempt).getBytes(StandardCharsets.UTF_8));
            } else {
                generate(exchange, attempt);
            }
        } finally {
            mBusyRuns.decrementAndGet();
        }
    }

    static void refuse(HttpExchange exchange, int status) throws IOException {
        exchange.getResponseHeaders().set("Not-Executed", "1");
        Main.answer(exchange, status, new byte[0]);
    }

    private void generate(HttpExchange exchange, String attempt) throws IOException {
        String last = header(exchange, "Last-Event-Id");
        int from = last.isEmpty() ? 0 : Integer.parseInt(last);
        exchange.getResponseHeaders().set("Weight-Versions", Long.toString(mVersion.get()));
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        List<String> events = events(attempt);
        long version = mVersion.get();
        try (OutputStream out = exchange.getResponseBody()) {
            for (int n = from + 1; n <= events.size(); n++) {
                if (eventMs > 0) {
                    Main.pause(eventMs);
                }
                String line = "";
                if (mVersion.get() != version) {
                    version = mVersion.get();
                    line = "weight-versions: " + version + "\n";
                }
                out.write(
                        (line + "id: " + n + "\ndata: " + events.get(n - 1) + "\n\n")
                                .getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        }
    }

    @Override
    public void close() {
        mServer.stop(0);
    }
}
