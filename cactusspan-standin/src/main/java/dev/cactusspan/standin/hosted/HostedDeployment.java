package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Real processes of the product before an emulated platform, all on loopback. */
public final class HostedDeployment implements AutoCloseable {
    static final String MODEL = "manifest-lm";
    static final int WINDOW_S = 2;
    private static final int ENGINES = 3;
    private static final int SERVICES = 2;
    private static final long READY_MS = 20_000;
    private static final long MS_PER_S = 1_000;

    private final ObservationLog mLedger = new ObservationLog();
    private final StoreEmulator mStore = StoreEmulator.start();
    private final UsageEmulator mUsage = UsageEmulator.start(mLedger);
    private final List<TargetEmulator> mTargets = new ArrayList<>();
    private final List<GatewayNode> mNodes = new ArrayList<>();
    private final long mStartedMs = System.currentTimeMillis();

    private HostedDeployment(Path folder, int nodes, StoreProxy proxy) throws IOException {
        mStore.put("op/config", desiredState());
        for (int i = 0; i < ENGINES; i++) {
            target("engine-" + i, "advice-lm", MODEL);
        }
        for (int i = 0; i < SERVICES; i++) {
            target("app-" + i, "slotdesk-app", "");
        }
        for (int i = 1; i <= nodes; i++) {
            int storePort = proxy.port(mStore.port());
            mNodes.add(GatewayNode.start(folder, "entry-" + i, storePort, mUsage.port(), WINDOW_S));
        }
    }

    /** Puts something between a process and the store. */
    public interface StoreProxy {
        /** The store itself. */
        StoreProxy NONE = port -> port;

        /**
         * Opens a way to the store.
         *
         * @param storePort port of the store
         * @return port of the way to it
         * @throws IOException if it cannot be opened
         */
        int port(int storePort) throws IOException;
    }

    /**
     * Starts a deployment and waits until its processes are ready.
     *
     * @param folder where settings and logs are written
     * @param nodes how many processes
     * @param proxy what stands between each process and the store
     * @return the running deployment
     * @throws IOException if a process cannot be started
     */
    public static HostedDeployment start(Path folder, int nodes, StoreProxy proxy)
            throws IOException {
        HostedDeployment deployment = new HostedDeployment(folder, nodes, proxy);
        for (GatewayNode node : deployment.mNodes) {
            if (!awaitReady(node, READY_MS)) {
                deployment.close();
                throw new IOException(node.name() + " did not become ready; see " + folder);
            }
        }
        return deployment;
    }

    private void target(String id, String service, String model) {
        mTargets.add(
                TargetEmulator.start(mStore, mLedger, id, service, model, WINDOW_S * MS_PER_S));
    }

    private static Map<String, Object> desiredState() {
        return Map.of(
                "version",
                3,
                "routes",
                List.of(
                        route("r-quote", "/quotes/", "idempotent", "slotdesk-app", false),
                        route("r-score", "/score/", "idempotent", "slotdesk-app", true),
                        route("r-train", "/train/", "rollout", "advice-lm", false)),
                "services",
                List.of(
                        Map.of("name", "slotdesk-app", "max_connections", 100),
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
                List.of(
                        Map.of(
                                "name",
                                HostedClients.ACCOUNT,
                                "api_keys",
                                List.of(HostedClients.KEY))));
    }

    private static Map<String, Object> route(
            String name, String prefix, String type, String service, boolean isOpen) {
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
                isOpen);
    }

    /** Names the next weight version. */
    void publishVersion(long version) {
        mStore.put("op/version/" + MODEL, Map.of("model", MODEL, "version", version));
    }

    /** Waits until a process says that it is ready; false if it does not in time. */
    static boolean awaitReady(GatewayNode node, long boundMs) {
        long untilMs = System.currentTimeMillis() + boundMs;
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

    private static boolean isReady(GatewayNode node) {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection)
                            URI.create("http://127.0.0.1:" + node.readyPort() + "/-/readyz")
                                    .toURL()
                                    .openConnection();
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            // It does not listen yet.
            return false;
        }
    }

    // Accessors

    ObservationLog observations() {
        return mLedger;
    }

    StoreEmulator store() {
        return mStore;
    }

    List<TargetEmulator> targets() {
        return mTargets;
    }

    List<GatewayNode> nodes() {
        return mNodes;
    }

    /** Windows whose report is wrong, of those that began after the start and are due. */
    long wrongUsageWindows() {
        long windowMs = WINDOW_S * MS_PER_S;
        long from = mStartedMs / windowMs + 1;
        long to = (System.currentTimeMillis() - 10 * MS_PER_S) / windowMs - 1;
        return mLedger.countWrongWindows(from, to, 0.05);
    }

    long storeRequestsPerS() {
        return mStore.requestCount()
                * MS_PER_S
                / Math.max(1, System.currentTimeMillis() - mStartedMs);
    }

    @Override
    public void close() {
        mNodes.forEach(GatewayNode::close);
        mTargets.forEach(TargetEmulator::close);
        mUsage.close();
        mStore.close();
    }
}
