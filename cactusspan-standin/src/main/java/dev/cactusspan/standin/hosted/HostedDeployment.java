package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Runs real processes of the product against an emulated platform, all on loopback. */
public final class HostedDeployment implements AutoCloseable {
    static final String MODEL = "manifest-lm";
    static final int WINDOW_S = 2;
    private static final int ENGINES = 3;
    private static final int SERVICES = 2;
    private static final long READY_TIMEOUT_MS = 20_000;
    private static final int PROBE_TIMEOUT_MS = 1_000;
    private static final long MS_PER_S = 1_000;
    private static final long FIRST_VERSION = 3;

    private final ObservationLog mObservations = new ObservationLog();
    private final StoreEmulator mStore = StoreEmulator.start();
    private final UsageEmulator mUsage = UsageEmulator.start(mObservations);
    private final List<TargetEmulator> mTargets = new ArrayList<>();
    private final List<RawTarget> mFaultyTargets = new ArrayList<>();
    private final List<GatewayNode> mNodes = new ArrayList<>();
    private final long mStartMs = System.currentTimeMillis();

    private HostedDeployment(Path folder, int nodes, NodeCommand command, StoreProxy proxy)
            throws IOException {
        mStore.put(
                "op/config", desiredState(FIRST_VERSION, List.of(HostedClients.KEY), List.of(), 0));
        for (int i = 0; i < ENGINES; i++) {
            addTarget("engine-" + i, "advice-lm", "v1", MODEL);
        }
        for (int i = 0; i < SERVICES; i++) {
            addTarget("app-" + i, "slotdesk-app", "v1", "");
        }
        for (int i = 1; i <= nodes; i++) {
            int storePort = proxy.port(mStore.port());
            mNodes.add(
                    GatewayNode.start(
                            folder, "entry-" + i, command, storePort, mUsage.port(), WINDOW_S));
        }
    }

    /** Creates proxies between processes and the store. */
    public interface StoreProxy {
        /** Connects processes to the store directly. */
        StoreProxy NONE = port -> port;

        /**
         * Starts a proxy to the store.
         *
         * @param storePort port of the store
         * @return port of the proxy
         * @throws IOException if the proxy cannot be started
         */
        int port(int storePort) throws IOException;
    }

    /**
     * Starts a deployment and waits until its processes are ready.
     *
     * @param folder where settings and logs are written
     * @param nodes number of processes
     * @param proxy creates the proxy between each process and the store
     * @return the running deployment
     * @throws IOException if a process cannot be started
     */
    public static HostedDeployment start(Path folder, int nodes, StoreProxy proxy)
            throws IOException {
        return start(folder, nodes, NodeCommand.EMULATED, proxy);
    }

    static HostedDeployment start(Path folder, int nodes, NodeCommand command, StoreProxy proxy)
            throws IOException {
        HostedDeployment deployment = new HostedDeployment(folder, nodes, command, proxy);
        for (GatewayNode node : deployment.mNodes) {
            if (!awaitReady(node, READY_TIMEOUT_MS)) {
                deployment.close();
                throw new IOException(node.name() + " did not become ready; see " + folder);
            }
        }
        return deployment;
    }

    /**
     * Starts the process of a VM with a disk, which serves metrics once it is ready.
     *
     * @param folder where settings and logs are written
     * @return the running process, which this deployment closes
     * @throws IOException if it cannot be started
     */
    GatewayNode startStorage(Path folder) throws IOException {
        GatewayNode node =
                GatewayNode.start(
                        folder,
                        "storage-1",
                        NodeCommand.DEPLOYED_STORAGE,
                        mStore.port(),
                        mUsage.port(),
                        WINDOW_S);
        mNodes.add(node);
        return node;
    }

    private void addTarget(String id, String service, String software, String model) {
        mTargets.add(
                TargetEmulator.start(
                        mStore, mObservations, id, service, software, model, WINDOW_S * MS_PER_S));
    }

    /** Adds an engine with the given version of its software. */
    void addEngine(String id, String software) {
        addTarget(id, "advice-lm", software, MODEL);
    }

    /** Adds a plain service and an engine in trouble, which send the same answer. */
    void addFaultyTargets(RawTarget.Answer answer) {
        String name = "faulty-" + mFaultyTargets.size() + "-";
        mFaultyTargets.add(RawTarget.start(mStore, name + "app", "slotdesk-app", "", answer));
        mFaultyTargets.add(RawTarget.start(mStore, name + "engine", "advice-lm", MODEL, answer));
    }

    /**
     * Publishes the next desired state.
     *
     * @param version its version, above {@code 3} and above the one before
     * @param regions regions to which all routes are bound, empty for none
     * @param coldPerS requests per second that a cold plain service bears, zero if it bears all
     */
    void publishDesiredState(long version, List<String> regions, double coldPerS) {
        mStore.put(
                "op/config", desiredState(version, List.of(HostedClients.KEY), regions, coldPerS));
    }

    /** Publishes a desired state in which the clients' account has no key. */
    void withdrawKeys() {
        mStore.put("op/config", desiredState(FIRST_VERSION + 1, List.of(), List.of(), 0));
    }

    private static Map<String, Object> desiredState(
            long version, List<String> keys, List<String> regions, double coldPerS) {
        return Map.of(
                "version",
                version,
                "routes",
                Stream.of(
                                route("r-quote", "/quotes/", "idempotent", "slotdesk-app", false),
                                route("r-score", "/score/", "idempotent", "slotdesk-app", true),
                                route("r-train", "/train/", "rollout", "advice-lm", false),
                                streamRoute())
                        .map(route -> bound(route, regions))
                        .toList(),
                "services",
                List.of(
                        Map.of(
                                "name",
                                "slotdesk-app",
                                "max_connections",
                                100,
                                "cold_start_s",
                                3,
                                "cold_per_s",
                                coldPerS),
                        Map.of(
                                "name",
                                "advice-lm",
                                "max_connections",
                                100,
                                "engine",
                                Map.of("models", List.of(Map.of("name", MODEL))))),
                "limits",
                Map.of(),
                "tenants",
                List.of(Map.of("name", HostedClients.ACCOUNT, "api_keys", keys)));
    }

    private static Map<String, Object> route(
            String name, String prefix, String type, String service, boolean isPublic) {
        return Map.of(
                "name",
                name,
                "host",
                "127.0.0.1",
                "prefix",
                prefix,
                "type",
                type,
                "service",
                service,
                "slo_ms",
                400,
                "max_attempts",
                3,
                "run_slo_ms",
                5_000,
                "retention_s",
                60,
                "public",
                isPublic);
    }

    private static Map<String, Object> bound(Map<String, Object> route, List<String> regions) {
        Map<String, Object> bound = new HashMap<>(route);
        bound.put("allowed_regions", regions);
        return bound;
    }

    private static Map<String, Object> streamRoute() {
        Map<String, Object> route =
                new HashMap<>(
                        route(
                                "r-stream",
                                TargetEmulator.STREAM_PREFIX,
                                "streaming",
                                "advice-lm",
                                false));
        route.put("resumable", true);
        return route;
    }

    /** Publishes the next desired weight version. */
    void publishVersion(long version) {
        mStore.put("op/version/" + MODEL, Map.of("model", MODEL, "version", version));
    }

    /** Waits until a process reports that it is ready; returns false if it does not in time. */
    static boolean awaitReady(GatewayNode node, long timeoutMs) {
        long untilMs = System.currentTimeMillis() + timeoutMs;
        while (System.currentTimeMillis() < untilMs) {
            if (isReady(node)) {
                return true;
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return false;
    }

    /** Probes a process once, with a second for the response, as the platform does. */
    static boolean isReady(GatewayNode node) {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection)
                            URI.create("http://127.0.0.1:" + node.readyPort() + "/-/readyz")
                                    .toURL()
                                    .openConnection();
            connection.setConnectTimeout(PROBE_TIMEOUT_MS);
            connection.setReadTimeout(PROBE_TIMEOUT_MS);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            // The process is not listening yet.
            return false;
        }
    }

    // Accessors

    ObservationLog observations() {
        return mObservations;
    }

    StoreEmulator store() {
        return mStore;
    }

    List<TargetEmulator> targets() {
        return mTargets;
    }

    TargetEmulator target(String id) {
        return mTargets.stream().filter(t -> t.id().equals(id)).findFirst().orElseThrow();
    }

    List<RawTarget> faultyTargets() {
        return mFaultyTargets;
    }

    List<GatewayNode> nodes() {
        return mNodes;
    }

    /**
     * Returns the number of windows with a wrong report, among those that started after the
     * deployment and whose report is due.
     */
    long wrongUsageWindows() {
        long windowMs = WINDOW_S * MS_PER_S;
        long from = mStartMs / windowMs + 1;
        long to = (System.currentTimeMillis() - 10 * MS_PER_S) / windowMs - 1;
        return mObservations.countWrongWindows(from, to, 0.05);
    }

    long storeRequestsPerS() {
        return mStore.requestCount()
                * MS_PER_S
                / Math.max(1, System.currentTimeMillis() - mStartMs);
    }

    @Override
    public void close() {
        mNodes.forEach(GatewayNode::close);
        mTargets.forEach(TargetEmulator::close);
        mFaultyTargets.forEach(RawTarget::close);
        mUsage.close();
        mStore.close();
    }
}
