package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Runs quotes, training steps and new weight versions through real processes, without faults. */
public final class HostedDemo {
    private static final int ITEMS = 16;
    private static final int QUOTES_PER_STEP = 10;
    private static final long DUE_MS = 5_000;
    private static final long TIMEOUT_MS = 12_000;
    private static final long USAGE_REPORT_DELAY_S = 14;

    private HostedDemo() {}

    /**
     * Result of a demo.
     *
     * @param counts counts by name
     * @param violations violated guarantees
     */
    public record Outcome(Map<String, Long> counts, List<String> violations) {
        /**
         * Returns whether nothing was missing, duplicated or wrong.
         *
         * @return true if all guarantees were kept
         */
        public boolean isCorrect() {
            return violations.isEmpty()
                    && counts.get("quotes").equals(counts.get("quotes_answered"))
                    && counts.get("steps").equals(counts.get("steps_on_time"))
                    && counts.get("samples_wrong") == 0
                    && counts.get("samples") == counts.get("steps") * ITEMS
                    && counts.get("usage_windows_wrong") == 0;
        }
    }

    /**
     * Runs a demo.
     *
     * @param folder where settings and logs are written
     * @param processes entry processes to start
     * @param steps training steps to run
     * @return its result
     * @throws IOException if a process cannot be started
     */
    public static Outcome run(Path folder, int processes, int steps) throws IOException {
        ExecutorService callers = Executors.newFixedThreadPool(4);
        try (HostedDeployment deployment =
                HostedDeployment.start(folder, processes, HostedDeployment.StoreProxy.NONE)) {
            HostedClients clients =
                    new HostedClients(
                            deployment.nodes(), deployment.observations(), HostedDeployment.MODEL);
            for (int step = 0; step < steps; step++) {
                for (int i = 0; i < QUOTES_PER_STEP; i++) {
                    callers.execute(clients::sendQuote);
                }
                clients.runStep(step, Math.max(1, step), ITEMS, DUE_MS, TIMEOUT_MS);
                deployment.publishVersion(step + 2);
            }
            callers.shutdown();
            callers.awaitTermination(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            TimeUnit.SECONDS.sleep(USAGE_REPORT_DELAY_S);
            Map<String, Long> counts = new LinkedHashMap<>(clients.counts());
            counts.put("usage_windows_wrong", deployment.wrongUsageWindows());
            counts.put("store_calls_per_s", deployment.storeRequestsPerS());
            return new Outcome(counts, deployment.observations().violations());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the demo was interrupted", e);
        } finally {
            callers.shutdownNow();
        }
    }
}
