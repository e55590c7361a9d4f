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
 * Sends quotes and training steps through one real process while most of its targets are faulty.
 */
public final class FaultyTargetsTrial {
    private static final int ITEMS = 16;

    /** Time until the process knows all targets. */
    private static final long TARGETS_KNOWN_MS = 3_000;

    private static final long DUE_MS = 30_000;
    private static final long TIMEOUT_MS = 60_000;

    private FaultyTargetsTrial() {}

    /**
     * What callers send.
     *
     * @param quotes number of quotes
     * @param callers number of clients that send them
     * @param steps number of training steps, one after the other
     */
    public record Load(int quotes, int callers, int steps) {}

    /**
     * Result of a trial.
     *
     * @param counts counts by name
     * @param isServedAfter true if a quote is answered once the faulty targets are gone
     * @param peakMemoryKb the largest memory of the process, in KB
     * @param isAlive true if the process still runs
     * @param untried answers that no request met
     * @param violations violated guarantees
     */
    public record Outcome(
            Map<String, Long> counts,
            boolean isServedAfter,
            long peakMemoryKb,
            boolean isAlive,
            List<RawTarget.Answer> untried,
            List<String> violations) {}

    /**
     * Runs the trial.
     *
     * @param folder where settings and logs are written
     * @param answers what the faulty targets send, each a plain service and an engine
     * @param load what callers send
     * @return its result
     * @throws IOException if a process cannot be started
     */
    public static Outcome run(Path folder, List<? extends RawTarget.Answer> answers, Load load)
            throws IOException {
        ExecutorService threads = Executors.newFixedThreadPool(load.callers());
        try (HostedDeployment deployment =
                HostedDeployment.start(folder, 1, HostedDeployment.StoreProxy.NONE)) {
            answers.forEach(deployment::addFaultyTargets);
            TimeUnit.MILLISECONDS.sleep(TARGETS_KNOWN_MS);
            HostedClients clients =
                    new HostedClients(
                            deployment.nodes(), deployment.observations(), HostedDeployment.MODEL);
            for (int i = 0; i < load.quotes(); i++) {
                threads.execute(clients::sendQuote);
            }
            for (int step = 0; step < load.steps(); step++) {
                clients.runStep(step, 1, ITEMS, DUE_MS, TIMEOUT_MS);
            }
            threads.shutdown();
            threads.awaitTermination(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            Map<String, Long> counts = new LinkedHashMap<>(clients.counts());
            deployment.faultyTargets().forEach(RawTarget::close);
            clients.sendQuote();
            GatewayNode node = deployment.nodes().get(0);
            return new Outcome(
                    counts,
                    clients.counts().get("quotes_answered") > counts.get("quotes_answered"),
                    node.peakMemoryKb(),
                    !node.awaitExit(0),
                    deployment.faultyTargets().stream()
                            .filter(t -> t.requestCount() == 0)
                            .map(RawTarget::answer)
                            .toList(),
                    deployment.observations().violations());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the trial was interrupted", e);
        } finally {
            threads.shutdownNow();
        }
    }
}
