package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

/**
 * Holds a real process back without processor time while the key of its clients is withdrawn and
 * requests with that key arrive, and lets it go on.
 */
public final class HeldBackEntryTrial {
    /** Longer than the process may take to know a desired state, in milliseconds. */
    private static final long PAUSE_MS = 3_200;

    private static final int REQUESTS = 40;
    private static final int SUCCESS = 200;

    private HeldBackEntryTrial() {}

    /**
     * Result of a trial.
     *
     * @param isServedBefore whether the key was served before it was withdrawn
     * @param statuses statuses of the requests that came long after it was withdrawn
     */
    public record Outcome(boolean isServedBefore, List<Integer> statuses) {
        /**
         * Returns how many requests were served with a key that was withdrawn.
         *
         * @return number of requests
         */
        public long wronglyServed() {
            return statuses.stream().filter(status -> status == SUCCESS).count();
        }
    }

    /**
     * Runs the trial.
     *
     * @param folder where settings and logs are written
     * @return its result
     * @throws IOException if the process cannot be started
     */
    public static Outcome run(Path folder) throws IOException {
        try (HostedDeployment deployment =
                HostedDeployment.start(folder, 1, HostedDeployment.StoreProxy.NONE)) {
            GatewayNode node = deployment.nodes().get(0);
            HttpClient http = HttpClient.newHttpClient();
            boolean isServedBefore = send(http, node).join() == SUCCESS;
            List<CompletableFuture<Integer>> responses = new ArrayList<>();
            node.signal("STOP");
            try {
                deployment.withdrawKeys();
                pause(PAUSE_MS);
                for (int i = 0; i < REQUESTS; i++) {
                    responses.add(send(http, node));
                }
                pause(PAUSE_MS / 10);
            } finally {
                node.signal("CONT");
            }
            return new Outcome(
                    isServedBefore, responses.stream().map(CompletableFuture::join).toList());
        }
    }

    /** Sends a request; its status is 0 without a response. */
    private static CompletableFuture<Integer> send(HttpClient http, GatewayNode node) {
        String id = UUID.randomUUID().toString().replace("-", "");
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://127.0.0.1:" + node.clientPort() + "/quotes/" + id))
                        .header("X-Api-Key", HostedClients.KEY)
                        .header("Attempt-Id", id)
                        .header("Deadline-Ms", "5000")
                        .POST(HttpRequest.BodyPublishers.ofString("q"))
                        .build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenApply(HttpResponse::statusCode)
                .exceptionally(e -> 0);
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
