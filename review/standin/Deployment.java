import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment: the store, the usage interface, and entries started with the command of the
 * deploy file. Like the platform, it starts a process again after it has ended.
 */
final class Deployment implements AutoCloseable {
    static final String HOST = "ficu95.example";
    private static final long RESTART_DELAY_MS = 1_000;

    /** One entry: a process on a loopback address of its own. */
    final class Entry {
        final String name;
        final String ip;
        final List<String> exits = new ArrayList<>();
        private final Path mSettings;
        private final Path mLog;
        private Process mProcess;
        private volatile boolean mIsStopped;
        private volatile boolean mIsDark;

        Entry(String name, String ip) throws IOException {
            this.name = name;
            this.ip = ip;
            mSettings = mFolder.resolve(name + ".json");
            mLog = mFolder.resolve(name + ".log");
            Map<String, Object> settings = new LinkedHashMap<>();
            settings.put("vm", name);
            settings.put("zone", "erie-a");
            settings.put("zones", Map.of("erie-a", "erie"));
            settings.put("ip", ip);
            settings.put("client_address", clientAddress());
            settings.put("ready_address", ip + ":8162");
            settings.put("link_port", 7640);
            settings.put("metrics_port", 9464);
            settings.put("store_address", store.address());
            settings.put("usage_address", mUsage.address());
            settings.put("usage_window_s", 5);
            settings.put("turn_ms", 3_000);
            settings.put("is_fencing_checked", false);
            settings.put("reconnect_ms", 4_000);
            settings.put("drain_ms", 2_500);
            settings.put("stop_s", 8);
            Files.write(mSettings, Store.JSON.writeValueAsBytes(settings));
            start();
            Http.daemon("supervisor", this::supervise);
        }

        String clientAddress() {
            return ip + ":8167";
        }

        private void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(mCommand);
            builder.directory(mRoot.toFile());
            builder.environment().put("CACTUSSPAN_CONFIG", mSettings.toString());
            mProcess =
                    builder.redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()))
                            .start();
            record.add("%s is started, process %d", name, mProcess.pid());
        }

        private void supervise() {
            try {
                while (!mIsStopped) {
                    int code = mProcess.waitFor();
                    if (mIsStopped) {
                        return;
                    }
                    if (mIsDark) {
                        Thread.sleep(20);
                        continue;
                    }
                    synchronized (exits) {
                        exits.add("code " + code);
                    }
                    record.report("%s has ended by itself with code %d", name, code);
                    Thread.sleep(RESTART_DELAY_MS);
                    synchronized (this) {
                        if (!mIsStopped) {
                            start();
                        }
                    }
                }
            } catch (InterruptedException | IOException e) {
                record.report("%s cannot be started again: %s", name, e);
            }
        }

        boolean isReady() {
            try (Http.Connection connection = Http.Connection.open(ip + ":8162", 1_000)) {
                connection.write(
                        Http.bytes("GET /-/readyz HTTP/1.1", Map.of("Host", HOST), new byte[0]));
                return Http.read(connection, false).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        int exitCount() {
            synchronized (exits) {
                return exits.size();
            }
        }

        /** Kills the process, and starts it again after a time, as after a loss of power. */
        void losePower(long darkMs) throws IOException, InterruptedException {
            mIsDark = true;
            synchronized (this) {
                record.report("%s loses power", name);
                mProcess.destroyForcibly().waitFor();
            }
            Http.daemon(
                    "power",
                    () -> {
                        try {
                            Thread.sleep(darkMs);
                            synchronized (this) {
                                if (!mIsStopped) {
                                    start();
                                }
                            }
                            mIsDark = false;
                        } catch (IOException | InterruptedException e) {
                            record.report("%s cannot be started again: %s", name, e);
                        }
                    });
        }

        synchronized void stop() throws InterruptedException {
            mIsStopped = true;
            mProcess.destroyForcibly().waitFor();
        }
    }

    final Store store;
    final Record record;
    final List<Entry> entries = new ArrayList<>();
    private final Http.Server mUsage;
    private final Path mRoot;
    private final Path mFolder;
    private final List<String> mCommand;
    private boolean mIsClosed;

    /** A part of the loopback range that no other run uses, as all entries use the same ports. */
    private final String mSubnet =
            "127." + (64 + new Random().nextInt(64)) + "." + new Random().nextInt(250);


    Deployment(Path root, Record record) throws IOException {
        mRoot = root;
        this.record = record;
        mFolder = Files.createTempDirectory("cactusspan-review");
        mCommand = command(root);
        store = new Store(mSubnet + ".200");
        mUsage =
                new Http.Server(
                        mSubnet + ".201",
                        0,
                        (connection, request) ->
                                connection.write(Http.response(200, Map.of(), new byte[0])));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Reads the command of the role {@code entry} from the deploy file. */
    private static List<String> command(Path root) throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher matcher =
                Pattern.compile("\\[roles\\.entry\\]\\s*run = \"([^\"]*)\"").matcher(deploy);
        if (!matcher.find()) {
            throw new IOException("the deploy file has no role named entry");
        }
        return List.of(matcher.group(1).split(" "));
    }

    void startEntries(int count) throws IOException, InterruptedException {
        for (int i = 1; i <= count; i++) {
            entries.add(new Entry("edge-erie-a-" + i, mSubnet + "." + i));
        }
        long untilMs = Store.nowMs() + 30_000;
        for (Entry entry : entries) {
            while (!entry.isReady()) {
                if (Store.nowMs() > untilMs) {
                    throw new IOException(entry.name + " does not become ready");
                }
                Thread.sleep(50);
            }
        }
    }

    String workerIp(int number) {
        return mSubnet + "." + (100 + number);
    }

    /** Returns a route of the desired state with the fields that all kinds have. */
    static Map<String, Object> route(
            String name, String prefix, String type, String service, int maxAttempts) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", HOST);
        route.put("prefix", prefix);
        route.put("type", type);
        route.put("service", service);
        route.put("timeout_ms", 10_000);
        route.put("slo_ms", 400);
        route.put("priority", 1);
        route.put("max_attempts", maxAttempts);
        route.put("public", false);
        return route;
    }

    /** Writes the desired state; the keys of its tenants are {@code key-1} and {@code key-2}. */
    void putDesiredState(List<Map<String, Object>> routes, List<Map<String, Object>> services) {
        store.put(
                "op/config",
                Map.of(
                        "version",
                        7,
                        "routes",
                        routes,
                        "services",
                        services,
                        "limits",
                        Map.of(
                                "max_header_bytes", 16_384,
                                "max_body_bytes", 33_554_432,
                                "header_timeout_ms", 3_000,
                                "idle_timeout_ms", 15_000),
                        "tenants",
                        List.of(
                                Map.of("name", "nowu640", "api_keys", List.of("key-1")),
                                Map.of("name", "goka901", "api_keys", List.of("key-2")))));
    }

    /** Registers a worker, as its status report does. */
    void register(String id, String service, String address, int slots, Map<String, Object> more) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", address);
        entry.put("zone", "erie-a");
        entry.put("version", "v1");
        entry.put("slots", slots);
        entry.put("state", "ready");
        entry.put("cold_remaining_ms", 0);
        entry.put("sequence", 0);
        entry.put("born", 1_790_000_000_000L);
        entry.putAll(more);
        store.put("servers/" + id, entry);
    }

    @Override
    public synchronized void close() {
        if (mIsClosed) {
            return;
        }
        mIsClosed = true;
        try {
            for (Entry entry : entries) {
                entry.stop();
            }
            if (System.getenv("KEEP_LOGS") == null) {
                for (File file : mFolder.toFile().listFiles()) {
                    file.delete();
                }
                Files.deleteIfExists(mFolder);
            }
        } catch (IOException | InterruptedException e) {
            System.err.println("cannot clean up: " + e);
        }
    }
}
