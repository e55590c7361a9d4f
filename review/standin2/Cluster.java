import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback: store, usage interface, workers, and entries of the product. */
final class Cluster implements AutoCloseable {
    static final String KEY = "3fexd9dnn2ctnfzs989a";
    static final String TENANT = "hule930";
    static final String MODEL = "daka510000";
    static final String HOST = "ficu95.example";

    /** A usage report as it arrived. */
    record Report(String holder, long fence, String body, long atMs) {}

    /** An entry machine. */
    final class Node {
        final String name;
        final String ip;
        volatile Process process;
        int starts;
        final List<Integer> exits = new CopyOnWriteArrayList<>();
        volatile long darkMs = 700;

        Node(String name, String ip) {
            this.name = name;
            this.ip = ip;
        }

        void launch() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(root.toFile());
            builder.environment().put("CACTUSSPAN_CONFIG", folder.resolve(name + ".json").toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            starts++;
        }

        /** Writes the settings that the platform would fill into deploy/settings.json. */
        void writeSettings(String store) throws IOException {
            Map<String, Object> s = new LinkedHashMap<>();
            s.put("vm", name);
            s.put("zone", "zone-a");
            s.put("zones", Map.of("zone-a", "region-a"));
            s.put("ip", ip);
            s.put("client_address", ip + ":" + clientPort);
            s.put("ready_address", ip + ":" + readyPort);
            s.put("link_port", linkPort);
            s.put("metrics_port", metricsPort);
            s.put("store_address", store);
            s.put("usage_address", "127.0.0.1:" + usage.getAddress().getPort());
            s.put("usage_window_s", 5);
            s.put("turn_ms", 3000);
            s.put("is_fencing_checked", isFencingChecked);
            s.put("reconnect_ms", 4000);
            s.put("drain_ms", 2500);
            s.put("desired_state_ms", 2500);
            s.put("batch_end_ms", 3000);
            s.put("learns_capacity", true);
            s.put("stop_s", 8);
            Files.write(folder.resolve(name + ".json"), Main.json(s));
        }

        void signal(String signal) {
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                        .start()
                        .waitFor();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        boolean isReady() {
            try {
                HttpResponse<byte[]> r =
                        http.send(
                                HttpRequest.newBuilder(
                                                URI.create(
                                                        "http://"
                                                                + ip
                                                                + ":"
                                                                + readyPort
                                                                + "/-/readyz"))
                                        .timeout(Duration.ofSeconds(1))
                                        .build(),
                                HttpResponse.BodyHandlers.ofByteArray());
                return r.statusCode() == 200;
            } catch (IOException | InterruptedException e) {
                return false;
            }
        }

        HttpRequest.Builder request(String path) {
            return HttpRequest.newBuilder(URI.create("http://" + ip + ":" + clientPort + path))
                    .header("Host", HOST)
                    .header("X-Api-Key", KEY);
        }
    }

    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Kv store;
    final HttpServer usage;
    final ConcurrentLinkedQueue<Report> reports = new ConcurrentLinkedQueue<>();
    final List<Worker> workers = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();
    final int clientPort;
    final int readyPort;
    final int linkPort;
    final int metricsPort;
    boolean isFencingChecked = true;
    private volatile boolean mIsClosed;
    final long startMs = System.nanoTime() / 1_000_000;
    private final java.io.PrintWriter mRecord;

    Cluster(Path folder, Path record) throws IOException {
        this.folder = folder;
        mRecord = new java.io.PrintWriter(Files.newBufferedWriter(record), true);
        store = new Kv("127.0.0.1");
        usage = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
        usage.setExecutor(Executors.newCachedThreadPool());
        usage.createContext(
                "/",
                e -> {
                    byte[] body = e.getRequestBody().readAllBytes();
                    reports.add(
                            new Report(
                                    e.getRequestHeaders().getFirst("Duty-Holder"),
                                    Long.parseLong(
                                            e.getRequestHeaders().getFirst("Fencing-Token")),
                                    new String(body),
                                    Worker.now()));
                    Main.answer(e, 200, new byte[0]);
                });
        usage.start();
        clientPort = freePort();
        readyPort = freePort();
        linkPort = freePort();
        metricsPort = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    private static int sNext = (int) (ProcessHandle.current().pid() * 131 % 15_000);

    private static int freePort() throws IOException {
        while (true) {
            int port = 12_000 + Math.floorMod(sNext++, 15_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("0.0.0.0"))) {
                return socket.getLocalPort();
            } catch (java.net.BindException e) {
                // In use; the next one.
            }
        }
    }

    /** Writes a line of what was sent, answered, run or done. */
    void record(String text) {
        String line = String.format("%7d ms  %s", Worker.now() - startMs, text);
        mRecord.println(line);
        System.out.println(line);
    }

    /** The command of the entry in the deploy file. */
    private List<String> command() throws IOException {
        String text = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("run = \"(java .* entry)\"").matcher(text);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command of the entry");
        }
        return List.of(run.group(1).split(" "));
    }

    void addNodes(int count) throws IOException {
        for (int i = 1; i <= count; i++) {
            Node node = new Node(name(i), "127.0.0." + (20 + i));
            node.writeSettings("127.0.0.1:" + store.port());
            nodes.add(node);
            node.launch();
            Thread keeper = new Thread(() -> keep(node), "keeper-" + name(i));
            keeper.setDaemon(true);
            keeper.start();
        }
    }

    private static String name(int number) {
        return "edge-" + number;
    }

    /** Starts a process that has ended again after a while, as the platform does. */
    private void keep(Node node) {
        while (!mIsClosed) {
            if (!node.process.isAlive()) {
                int code = node.process.exitValue();
                node.exits.add(code);
                record(node.name + " has ended with exit code " + code);
                Main.pause(node.darkMs);
                node.darkMs = 700;
                try {
                    if (!mIsClosed) {
                        node.launch();
                    }
                } catch (IOException e) {
                    record(node.name + " cannot be started: " + e);
                    return;
                }
            }
            Main.pause(50);
        }
    }

    boolean awaitReady(long timeoutMs) {
        long untilMs = Worker.now() + timeoutMs;
        while (Worker.now() < untilMs) {
            if (nodes.stream().allMatch(Node::isReady)) {
                return true;
            }
            Main.pause(100);
        }
        return false;
    }

    void addWorkers(int engines, int services) throws IOException {
        for (int i = 1; i <= engines; i++) {
            workers.add(new Worker(store, "127.0.0.1", "e-" + i, "lm", MODEL));
        }
        for (int i = 1; i <= services; i++) {
            workers.add(new Worker(store, "127.0.0.1", "a-" + i, "app", ""));
        }
    }

    Worker worker(String id) {
        return workers.stream().filter(w -> w.id.equals(id)).findFirst().orElseThrow();
    }

    static Map<String, Object> route(String name, String prefix, String type, String service) {
        Map<String, Object> route = new HashMap<>();
        route.put("name", name);
        route.put("host", HOST);
        route.put("prefix", prefix);
        route.put("type", type);
        route.put("service", service);
        route.put("slo_ms", 400);
        route.put("timeout_ms", 10_000);
        route.put("max_attempts", 3);
        route.put("priority", 1);
        if (type.equals("rollout")) {
            route.put("run_slo_ms", 7_500);
            route.put("retention_s", 40);
        }
        return route;
    }

    void publishDesiredState(long version, List<Map<String, Object>> routes) {
        publishDesiredState(version, routes, List.of(KEY));
    }

    void publishDesiredState(long version, List<Map<String, Object>> routes, List<String> keys) {
        store.write(
                "op/config",
                Map.of(
                        "version",
                        version,
                        "routes",
                        routes,
                        "services",
                        List.of(
                                Map.of(
                                        "name",
                                        "lm",
                                        "max_connections",
                                        150,
                                        "engine",
                                        Map.of("models", List.of(Map.of("name", MODEL)))),
                                Map.of("name", "app", "max_connections", 110)),
                        "limits",
                        Map.of(
                                "max_header_bytes",
                                16_384,
                                "max_body_bytes",
                                33_554_432,
                                "header_timeout_ms",
                                3_000,
                                "idle_timeout_ms",
                                15_000),
                        "tenants",
                        List.of(Map.of("name", TENANT, "api_keys", keys))));
    }

    static List<Map<String, Object>> usualRoutes() {
        return List.of(
                route("quotes", "/quotes/", "idempotent", "app"),
                route("score", "/score/", "idempotent", "app"),
                route("train", "/train/", "rollout", "lm"));
    }

    private void endProcesses() {
        mIsClosed = true;
        for (Node node : nodes) {
            node.process.destroyForcibly();
        }
    }

    @Override
    public void close() {
        endProcesses();
        for (Node node : nodes) {
            try {
                node.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        workers.forEach(Worker::close);
        usage.stop(0);
        store.close();
    }
}
