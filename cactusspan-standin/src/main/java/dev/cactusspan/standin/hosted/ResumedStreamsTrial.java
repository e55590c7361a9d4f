package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Clients read streams from engines of two software versions through several real processes, all of
 * which are killed at once and launched again, twice.
 */
public final class ResumedStreamsTrial {
    private static final int NODES = 3;
    private static final int KILLS = 2;
    private static final int CLIENTS = 18;
    private static final long BEGIN_MS = 400;
    private static final long TIMEOUT_MS = 20_000;

    private ResumedStreamsTrial() {}

    /**
     * Result of a trial.
     *
     * @param streams number of streams
     * @param whole number of streams that clients read to their end
     * @param resumptions number of requests that resumed a stream and got a response
     * @param continued number of these that went on
     * @param violations violated guarantees
     */
    public record Outcome(
            int streams, int whole, int resumptions, int continued, List<String> violations) {}

    /**
     * Runs the trial.
     *
     * @param folder where settings and logs are written
     * @return its result
     * @throws IOException if a process cannot be started
     */
    public static Outcome run(Path folder) throws IOException {
        ExecutorService callers = Executors.newFixedThreadPool(CLIENTS);
        try (HostedDeployment deployment =
                HostedDeployment.start(folder, NODES, HostedDeployment.StoreProxy.NONE)) {
            deployment.addEngine("engine-new-0", "v2");
            deployment.addEngine("engine-new-1", "v2");
            TimeUnit.MILLISECONDS.sleep(BEGIN_MS);
            List<StreamClient> clients = new ArrayList<>();
            List<Future<Boolean>> outcomes = new ArrayList<>();
            for (int kill = 0; kill < KILLS; kill++) {
                for (int i = 0; i < CLIENTS; i++) {
                    StreamClient client =
                            new StreamClient(deployment.nodes(), deployment.observations(), i);
                    clients.add(client);
                    outcomes.add(callers.submit(() -> client.read(TIMEOUT_MS)));
                }
                TimeUnit.MILLISECONDS.sleep(BEGIN_MS);
                restartAll(deployment.nodes());
                await(outcomes);
            }
            return new Outcome(
                    clients.size(),
                    await(outcomes),
                    clients.stream().mapToInt(StreamClient::resumptions).sum(),
                    clients.stream().mapToInt(StreamClient::continued).sum(),
                    deployment.observations().violations());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the trial was interrupted", e);
        } finally {
            callers.shutdownNow();
        }
    }

    private static void restartAll(List<GatewayNode> nodes) throws IOException {
        nodes.forEach(node -> node.signal("KILL"));
        for (GatewayNode node : nodes) {
            node.awaitExit(TIMEOUT_MS);
            node.launch();
        }
    }

    /** Waits for all clients; returns how many streams are whole. */
    private static int await(List<Future<Boolean>> outcomes)
            throws IOException, InterruptedException {
        int whole = 0;
        for (Future<Boolean> outcome : outcomes) {
            try {
                whole += outcome.get() ? 1 : 0;
            } catch (ExecutionException e) {
                throw new IOException("a client failed", e);
            }
        }
        return whole;
    }
}
