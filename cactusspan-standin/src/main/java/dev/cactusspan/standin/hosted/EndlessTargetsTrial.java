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
 * Sends quotes and a training step through one real process while most of its targets answer with
 * bytes without end.
 */
public final class EndlessTargetsTrial {
    private static final int QUOTES = 40;
    private static final int ITEMS = 16;
    private static final int ROUNDS = 4;

    /** Time until the process knows all targets. */
    private static final long TARGETS_KNOWN_MS = 3_000;

    private static final long DUE_MS = 30_000;
    private static final long TIMEOUT_MS = 60_000;

    private EndlessTargetsTrial() {}

    /**
     * Result of a trial.
     *
     * @param counts counts by name
     * @param peakMemoryKb the largest memory of the process, in KB
     * @param isAlive true if the process still runs
     * @param untried shapes that no request met
     * @param violations violated guarantees
     */
    public record Outcome(
            Map<String, Long> counts,
            long peakMemoryKb,
            boolean isAlive,
            List<EndlessTarget.Shape> untried,
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
                HostedDeployment.start(folder, 1, HostedDeployment.StoreProxy.NONE)) {
            for (EndlessTarget.Shape shape : EndlessTarget.Shape.values()) {
                deployment.addEndlessTargets(shape);
            }
            TimeUnit.MILLISECONDS.sleep(TARGETS_KNOWN_MS);
            HostedClients clients =
                    new HostedClients(
                            deployment.nodes(), deployment.observations(), HostedDeployment.MODEL);
            for (int i = 0; i < QUOTES; i++) {
                callers.execute(clients::sendQuote);
            }
            for (int step = 0; step < ROUNDS; step++) {
                clients.runStep(step, 1, ITEMS, DUE_MS, TIMEOUT_MS);
            }
            callers.shutdown();
            callers.awaitTermination(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            GatewayNode node = deployment.nodes().get(0);
            return new Outcome(
                    new LinkedHashMap<>(clients.counts()),
                    node.peakMemoryKb(),
                    !node.awaitExit(0),
                    deployment.endlessTargets().stream()
                            .filter(t -> t.connectionCount() == 0)
                            .map(EndlessTarget::shape)
                            .toList(),
                    deployment.observations().violations());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the trial was interrupted", e);
        } finally {
            callers.shutdownNow();
        }
    }
}
