package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Sends a request that crashes the targets that run it again and again through several real
 * processes, one of which restarts, beside quotes that crash none.
 */
public final class CrashingRequestTrial {
    private static final int NODES = 3;
    private static final int REPEATS = 12;
    private static final int QUOTES_PER_REPEAT = 10;
    private static final long QUOTE_INTERVAL_MS = 80;
    private static final long TIMEOUT_MS = 15_000;

    private CrashingRequestTrial() {}

    /**
     * Result of a trial.
     *
     * @param crashes the targets that crashed, in order
     * @param statuses the responses to the request that crashes targets
     * @param counts counts of other requests by name
     * @param violations violated guarantees
     */
    public record Outcome(
            List<String> crashes,
            List<Integer> statuses,
            Map<String, Long> counts,
            List<String> violations) {}

    /**
     * Runs the trial.
     *
     * @param folder where settings and logs are written
     * @return its result
     * @throws IOException if a process cannot be started
     */
    public static Outcome run(Path folder) throws IOException {
        ExecutorService callers = Executors.newFixedThreadPool(8);
        try (HostedDeployment deployment =
                HostedDeployment.start(folder, NODES, HostedDeployment.StoreProxy.NONE)) {
            HostedClients clients =
                    new HostedClients(
                            deployment.nodes(), deployment.observations(), HostedDeployment.MODEL);
            List<Integer> statuses = new ArrayList<>();
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                if (repeat == REPEATS / 2) {
                    restart(deployment.nodes().get(0));
                }
                statuses.add(clients.sendCrashingRequest());
                for (int i = 0; i < QUOTES_PER_REPEAT; i++) {
                    callers.execute(clients::sendQuote);
                    TimeUnit.MILLISECONDS.sleep(QUOTE_INTERVAL_MS);
                }
            }
            callers.shutdown();
            callers.awaitTermination(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            return new Outcome(
                    deployment.observations().crashes(),
                    statuses,
                    clients.counts(),
                    deployment.observations().violations());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the trial was interrupted", e);
        } finally {
            callers.shutdownNow();
        }
    }

    private static void restart(GatewayNode node) throws IOException {
        node.signal("KILL");
        node.awaitExit(TIMEOUT_MS);
        node.launch();
        if (!HostedDeployment.awaitReady(node, TIMEOUT_MS)) {
            throw new IOException(node.name() + " did not become ready");
        }
    }
}
