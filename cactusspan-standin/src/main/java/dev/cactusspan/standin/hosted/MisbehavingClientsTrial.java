package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Sends crowds of clients that misbehave to one real process, beside ordinary callers. */
public final class MisbehavingClientsTrial {
    private static final int CALLERS = 4;
    private static final long CALL_INTERVAL_MS = 40;
    private static final long PROBE_INTERVAL_MS = 500;

    /** Time that a crowd stays, in milliseconds. */
    private static final long CROWD_MS = 1_500;

    private static final int LARGE_BYTES = 33_000_000;
    private static final int ITEMS = 16;
    private static final long DUE_MS = 30_000;
    private static final long TIMEOUT_MS = 60_000;

    private MisbehavingClientsTrial() {}

    /**
     * Result of a trial.
     *
     * @param counts counts by name
     * @param peakMemoryKb the largest memory of the process, in KB
     * @param isAlive true if the process still runs
     * @param unanswered crowds beside which an ordinary caller was not answered
     * @param missedProbes crowds beside which two probes in a row failed
     * @param largeStatus status of a large request in calm, before the crowds and after each kind
     * @param violations violated guarantees
     */
    public record Outcome(
            Map<String, Long> counts,
            long peakMemoryKb,
            boolean isAlive,
            List<String> unanswered,
            List<String> missedProbes,
            List<Integer> largeStatus,
            List<String> violations) {}

    /**
     * Runs the trial.
     *
     * @param folder where settings and logs are written
     * @return its result
     * @throws IOException if a process cannot be started
     */
    public static Outcome run(Path folder) throws IOException {
        try (HostedDeployment deployment =
                HostedDeployment.start(
                        folder, 1, NodeCommand.DEPLOYED, HostedDeployment.StoreProxy.NONE)) {
            GatewayNode node = deployment.nodes().get(0);
            HostedClients clients =
                    new HostedClients(
                            deployment.nodes(), deployment.observations(), HostedDeployment.MODEL);
            List<String> unanswered = new ArrayList<>();
            List<String> missedProbes = new ArrayList<>();
            List<Integer> largeStatus = new ArrayList<>();
            largeStatus.add(clients.sendLargeQuote(LARGE_BYTES));
            for (Crowd crowd : Crowd.all(node)) {
                runCrowd(crowd, node, clients, unanswered, missedProbes);
                if (node.awaitExit(0)) {
                    break;
                }
            }
            TimeUnit.MILLISECONDS.sleep(CROWD_MS);
            largeStatus.add(clients.sendLargeQuote(LARGE_BYTES));
            clients.runStep(0, 1, ITEMS, DUE_MS, TIMEOUT_MS);
            return new Outcome(
                    clients.counts(),
                    node.peakMemoryKb(),
                    !node.awaitExit(0),
                    unanswered,
                    missedProbes,
                    largeStatus,
                    deployment.observations().violations());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the trial was interrupted", e);
        }
    }

    private static void runCrowd(
            Crowd crowd,
            GatewayNode node,
            HostedClients clients,
            List<String> unanswered,
            List<String> missedProbes)
            throws IOException, InterruptedException {
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicBoolean isProbeMissed = new AtomicBoolean();
        ExecutorService ordinary = Executors.newFixedThreadPool(CALLERS + 1);
        long answeredBefore = clients.counts().get("quotes_answered");
        long sentBefore = clients.counts().get("quotes");
        for (int i = 0; i < CALLERS; i++) {
            ordinary.execute(() -> callUntil(isOver, clients));
        }
        ordinary.execute(() -> probeUntil(isOver, node, isProbeMissed));
        crowd.play(CROWD_MS, () -> false, () -> {});
        isOver.set(true);
        ordinary.shutdown();
        ordinary.awaitTermination(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        long answered = clients.counts().get("quotes_answered") - answeredBefore;
        long sent = clients.counts().get("quotes") - sentBefore;
        if (answered != sent || sent == 0) {
            unanswered.add(crowd.name() + " at " + crowd.port() + ": " + answered + " of " + sent);
        }
        if (isProbeMissed.get()) {
            missedProbes.add(crowd.name() + " at " + crowd.port());
        }
    }

    private static void callUntil(AtomicBoolean isOver, HostedClients clients) {
        while (!isOver.get()) {
            clients.sendQuote();
            pause(CALL_INTERVAL_MS);
        }
    }

    private static void probeUntil(
            AtomicBoolean isOver, GatewayNode node, AtomicBoolean isProbeMissed) {
        int misses = 0;
        while (!isOver.get()) {
            misses = HostedDeployment.isReady(node) ? 0 : misses + 1;
            if (misses >= 2) {
                isProbeMissed.set(true);
            }
            pause(PROBE_INTERVAL_MS);
        }
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
