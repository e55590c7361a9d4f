package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Sends quotes and training steps through several real processes while some targets limit their
 * requests to a fraction of what they get otherwise.
 */
public final class RequestLimitTrial {
    private static final int NODES = 3;
    private static final int QUOTES = 240;
    private static final long QUOTE_INTERVAL_MS = 50;
    private static final int ITEMS = 16;
    private static final double SERVICE_LIMIT_PER_S = 1.5;
    private static final double ENGINE_LIMIT_PER_S = 2.5;
    private static final long TIMEOUT_MS = 15_000;

    private RequestLimitTrial() {}

    /**
     * Result of a trial.
     *
     * @param counts counts by name
     * @param violations violated guarantees
     */
    public record Outcome(Map<String, Long> counts, List<String> violations) {}

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
            deployment.target("app-0").limitRequests(SERVICE_LIMIT_PER_S);
            deployment.target("engine-0").limitRequests(ENGINE_LIMIT_PER_S);
            HostedClients clients =
                    new HostedClients(
                            deployment.nodes(), deployment.observations(), HostedDeployment.MODEL);
            callers.execute(() -> runSteps(clients));
            for (int i = 0; i < QUOTES; i++) {
                callers.execute(clients::sendQuote);
                TimeUnit.MILLISECONDS.sleep(QUOTE_INTERVAL_MS);
            }
            callers.shutdown();
            callers.awaitTermination(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
            return new Outcome(
                    new LinkedHashMap<>(clients.counts()), deployment.observations().violations());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the trial was interrupted", e);
        } finally {
            callers.shutdownNow();
        }
    }

    private static void runSteps(HostedClients clients) {
        long untilMs = System.currentTimeMillis() + QUOTES * QUOTE_INTERVAL_MS;
        for (int step = 0; System.currentTimeMillis() < untilMs; step++) {
            clients.runStep(step, 1, ITEMS, TIMEOUT_MS, TIMEOUT_MS);
        }
    }
}
