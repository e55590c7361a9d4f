package review3;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** A small deployment: store, usage interface, workers, and entries as separate processes. */
final class Deployment implements AutoCloseable {
    static final String KEY = "k3fexd9dnn2ctnfzs989a";
    static final String TENANT = "hule930";
    static final String OTHER_KEY = "k8mw2c5zzq1rtbv0e7yd4";
    static final String OTHER_TENANT = "fida11";
    static final String MODEL = "daka510000";
    static final String ENGINES = "engines";
    static final String SERVICE = "app";
    static final String HOST = "127.0.0.1";

    /** The limit that the site files of the pages set ({@code body_bytes}). */
    static final int MAX_BODY_BYTES = 33_554_432;

    final Record record;
    final Kv kv = new Kv();
    final List<Worker> workers = new ArrayList<>();
    final List<Entry> entries = new ArrayList<>();
    private final Path mRoot = Path.of(System.getProperty("root"));
    private final Path mFolder = Files.createTempDirectory("review3-");
    private final HttpServer mUsage =
            HttpServer.create(new InetSocketAddress(InetAddress.getByName(HOST), 0), 64);

    Deployment(Record record) throws IOException {
        this.record = record;
        mUsage.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        mUsage.createContext("/", exchange -> {
            exchange.getRequestBody().readAllBytes();
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
        });
        mUsage.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> entries.forEach(Entry::close)));
        publish(3, 60);
    }

    /** Writes a desired state with a route of each kind that the sheets have. */
    void publish(long version, int retentionS) {
        kv.put(
                "op/config",
                Map.of(
                        "version", version,
                        "routes",
                        List.of(
                                route("r-quote", "/quote/", "idempotent", SERVICE, false, retentionS),
                                route("r-hold", "/hold/", "non_idempotent", SERVICE, false, retentionS),
                                route("r-score", "/score/", "idempotent", SERVICE, true, retentionS),
                                route("r-train", "/train/", "rollout", ENGINES, false, retentionS)),
                        "services",
                        List.of(
                                Map.of("name", SERVICE, "max_connections", 100),
                                Map.of("name", ENGINES, "max_connections", 140, "engine", Map.of("models", List.of(Map.of("name", MODEL))))),
                        "limits",
                        Map.of("max_header_bytes", 16_384, "max_body_bytes", MAX_BODY_BYTES, "header_timeout_ms", 3_000, "idle_timeout_ms", 15_000),
                        "tenants",
                        List.of(
                                Map.of("name", TENANT, "api_keys", List.of(KEY)),
                                Map.of("name", OTHER_TENANT, "api_keys", List.of(OTHER_KEY)))));
    }

    private static Map<String, Object> route(String name, String prefix, String type, String service, boolean isPublic, int retentionS) {
        Map<String, Object> route = new HashMap<>();
        route.put("name", name);
        route.put("host", HOST);
        route.put("prefix", prefix);
        route.put("type", type);
        route.put("service", service);
        route.put("slo_ms", 400);
        route.put("timeout_ms", 10_000);
        route.put("max_attempts", 3);
        route.put("run_slo_ms", 7_500);
        route.put("retention_s", retentionS);
        route.put("public", isPublic);
        return route;
    }

    void addWorkers(int engines, int slots, int events, long eventMs) throws IOException {
        for (int i = 0; i < engines; i++) {
            workers.add(new Worker(kv, record, "i-engine-" + i, ENGINES, MODEL, slots, events, eventMs));
        }
        for (int i = 0; i < 2; i++) {
            workers.add(new Worker(kv, record, "i-app-" + i, SERVICE, "", 6, 0, 20));
        }
    }

    void startEntries(int count) throws IOException {
        for (int i = 1; i <= count; i++) {
            entries.add(new Entry(mRoot, mFolder, "edge-" + i, record, kv.port(), mUsage.getAddress().getPort()));
        }
    }

    boolean awaitReady(long timeoutMs) throws InterruptedException {
        for (Entry entry : entries) {
            if (!entry.awaitReady(timeoutMs)) {
                record.add("error   %s is not ready", entry.name());
                return false;
            }
        }
        return true;
    }

    Path folder() {
        return mFolder;
    }

    @Override
    public void close() {
        entries.forEach(Entry::close);
        workers.forEach(Worker::close);
        kv.close();
        mUsage.stop(0);
        if (Boolean.getBoolean("keep")) {
            System.out.println("kept " + mFolder);
            return;
        }
        try (var files = Files.list(mFolder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(mFolder);
        } catch (IOException e) {
            System.err.println("left " + mFolder + ": " + e);
        }
    }
}
