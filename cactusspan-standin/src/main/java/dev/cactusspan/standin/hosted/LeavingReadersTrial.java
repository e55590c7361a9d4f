package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

/** Has many clients ask one real process for results that do not come, and leave. */
public final class LeavingReadersTrial {
    private static final int READERS = 60;

    /** How long the clients allow the process to wait, in milliseconds. */
    private static final long WAIT_MS = 3_600_000;

    private static final long TIMEOUT_MS = 20_000;
    private static final long POLL_MS = 50;

    private LeavingReadersTrial() {}

    /**
     * Result of a trial.
     *
     * @param descriptorsBefore descriptors of the process before the clients came
     * @param descriptorsAfter descriptors once they had left, or 20 s later
     */
    public record Outcome(long descriptorsBefore, long descriptorsAfter) {}

    /**
     * Runs a trial.
     *
     * @param folder where settings and logs are written
     * @return its result
     * @throws IOException if a process cannot be started
     */
    public static Outcome run(Path folder) throws IOException {
        try (HostedDeployment deployment =
                HostedDeployment.start(
                        folder, 1, NodeCommand.DEPLOYED, HostedDeployment.StoreProxy.NONE)) {
            return run(deployment.nodes().get(0));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the trial was interrupted", e);
        }
    }

    private static Outcome run(GatewayNode node) throws IOException, InterruptedException {
        HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        String batch =
                TrialBatch.submit(http, node, "/train/x", TrialBatch.NO_VERSION, new byte[1]);
        long before = node.openDescriptors();
        List<Socket> readers = new ArrayList<>();
        try {
            for (int i = 0; i < READERS; i++) {
                readers.add(ask(node.clientPort(), batch));
            }
            await(node, count -> count >= before + READERS);
        } finally {
            for (Socket reader : readers) {
                reader.close();
            }
        }
        return new Outcome(before, await(node, count -> count < before + READERS / 2));
    }

    private static Socket ask(int port, String batch) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        String request =
                String.join(
                        "\r\n",
                        "GET /-/lots/" + batch + "?after=0 HTTP/1.1",
                        "Host: 127.0.0.1",
                        "X-Api-Key: " + HostedClients.KEY,
                        "Wait-Ms: " + WAIT_MS,
                        "",
                        "");
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    /** Waits until the process has so many descriptors; returns how many it had last. */
    private static long await(GatewayNode node, LongPredicate isReached)
            throws InterruptedException {
        long untilMs = System.nanoTime() / 1_000_000 + TIMEOUT_MS;
        long count = node.openDescriptors();
        while (!isReached.test(count) && System.nanoTime() / 1_000_000 < untilMs) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
            count = node.openDescriptors();
        }
        return count;
    }
}
