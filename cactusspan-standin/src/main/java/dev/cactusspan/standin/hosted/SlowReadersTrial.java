package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/** Has many clients read long answers of one real process slowly. */
public final class SlowReadersTrial {
    /** Heap of the process, two thirds of a deployed one's, in MB. */
    private static final int HEAP_MB = 64;

    private static final int READERS = 60;

    /** Time that the readers stay, in milliseconds; those that are closed come again. */
    private static final long CROWD_MS = 12_000;

    private static final long TURN_MS = 100;
    private static final long TURNS_PER_S = 10;

    /** Time within which the process answers an ordinary request afterwards, in milliseconds. */
    private static final long RECOVERY_MS = 60_000;

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
    private static final long RETRY_DELAY_MS = 200;
    private static final int LONG_REQUEST_BYTES = 1_000_000;
    private static final int ITEM_BODY_BYTES = 1_000_000;
    private static final long ANY_VERSION = 1;

    private static final int OK = 200;

    private final GatewayNode mNode;
    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private long mPeakDescriptors;
    private long mPeakUnsentBytes;

    private SlowReadersTrial(GatewayNode node) {
        mNode = node;
    }

    /** What the clients ask for. */
    public enum Answers {
        /** Answers of targets with their length. */
        WHOLE,
        /** Answers of targets to long requests. */
        TO_LONG_REQUESTS,
        /** Answers of targets in chunks. */
        CHUNKED,
        /** Streams of events. */
        EVENTS,
        /** Streams of events that long requests ask for. */
        EVENTS_TO_LONG_REQUESTS,
        /** Pages of a batch's results. */
        RESULTS,
        /** Bodies of items without a result. */
        ITEM_BODIES,
        /** The process's metrics. */
        METRICS
    }

    /**
     * Result of a trial.
     *
     * @param isServedInCalm true if one client was served whole before the others came
     * @param isAlive true if the process still runs
     * @param peakMemoryKb the largest memory of the process, in KB
     * @param peakDescriptors the most descriptors that it had open
     * @param peakUnsentBytes the most bytes of one connection that the system kept to be sent
     * @param isOrdinaryServed true if an ordinary request was answered afterwards
     * @param isServedAfter true if one client was served whole afterwards
     */
    public record Outcome(
            boolean isServedInCalm,
            boolean isAlive,
            long peakMemoryKb,
            long peakDescriptors,
            long peakUnsentBytes,
            boolean isOrdinaryServed,
            boolean isServedAfter) {}

    /**
     * Runs a trial.
     *
     * @param folder where settings and logs are written
     * @param answers what the clients ask for
     * @param bytesPerS bytes that each of them reads in a second
     * @return its result
     * @throws IOException if a process cannot be started
     */
    public static Outcome run(Path folder, Answers answers, int bytesPerS) throws IOException {
        try (HostedDeployment deployment =
                HostedDeployment.start(
                        folder,
                        1,
                        NodeCommand.deployedWithHeap(HEAP_MB),
                        HostedDeployment.StoreProxy.NONE)) {
            return new SlowReadersTrial(deployment.nodes().get(0)).run(answers, bytesPerS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the trial was interrupted", e);
        }
    }

    private Outcome run(Answers answers, int bytesPerS) throws InterruptedException, IOException {
        String path = prepare(answers);
        boolean isServedInCalm = awaitServed(answers, path);
        play(answers, path, bytesPerS);
        boolean isAlive = !mNode.awaitExit(0);
        return new Outcome(
                isServedInCalm,
                isAlive,
                mNode.peakMemoryKb(),
                mPeakDescriptors,
                mPeakUnsentBytes,
                isAlive && awaitOrdinary(),
                isAlive && awaitServed(answers, path));
    }

    // What is asked for

    private String prepare(Answers answers) throws IOException, InterruptedException {
        return switch (answers) {
            case WHOLE -> LongAnswer.WHOLE.path();
            case TO_LONG_REQUESTS -> LongAnswer.MEDIUM.path();
            case CHUNKED -> LongAnswer.CHUNKED.path();
            case EVENTS, EVENTS_TO_LONG_REQUESTS -> LongAnswer.EVENTS.path();
            case RESULTS ->
                    "/-/lots/"
                            + TrialBatch.submit(
                                    mHttp, mNode, LongAnswer.ITEM.path(), ANY_VERSION, new byte[1]);
            case ITEM_BODIES -> {
                String batch =
                        TrialBatch.submit(
                                mHttp,
                                mNode,
                                "/train/x",
                                TrialBatch.NO_VERSION,
                                new byte[ITEM_BODY_BYTES]);
                yield "/-/items/" + batch + "?id=" + batch + "-0";
            }
            case METRICS -> "/metrics";
        };
    }

    private static String newId() {
        return UUID.randomUUID().toString().replace("-", "");
    }

    // Slow clients

    private void play(Answers answers, String path, int bytesPerS)
            throws InterruptedException, IOException {
        List<SlowReader> readers = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.allocate(bytesPerS);
        int turnBytes = (int) Math.max(1, bytesPerS / TURNS_PER_S);
        long untilMs = nowMs() + CROWD_MS;
        try {
            while (nowMs() < untilMs && !mNode.awaitExit(0)) {
                readers.removeIf(SlowReader::isClosed);
                open(answers, path, readers);
                readers.forEach(reader -> reader.turn(buffer, turnBytes));
                mPeakDescriptors = Math.max(mPeakDescriptors, mNode.openDescriptors());
                mPeakUnsentBytes = Math.max(mPeakUnsentBytes, mNode.unsentBytes());
                TimeUnit.MILLISECONDS.sleep(TURN_MS);
            }
        } finally {
            readers.forEach(SlowReader::close);
        }
    }

    private void open(Answers answers, String path, List<SlowReader> readers) {
        while (readers.size() < READERS) {
            try {
                readers.add(new SlowReader(port(answers), request(answers, path)));
            } catch (IOException e) {
                // The process refuses the connection, as it may.
                return;
            }
        }
    }

    private static byte[] request(Answers answers, String path) {
        boolean isLong =
                answers == Answers.TO_LONG_REQUESTS || answers == Answers.EVENTS_TO_LONG_REQUESTS;
        int bodyBytes = isLong ? LONG_REQUEST_BYTES : 0;
        return String.join(
                        "\r\n",
                        method(answers) + " " + path + " HTTP/1.1",
                        "Host: 127.0.0.1",
                        "Attempt-Id: " + newId(),
                        "X-Api-Key: " + HostedClients.KEY,
                        "Content-Length: " + bodyBytes,
                        "",
                        "x".repeat(bodyBytes))
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private int port(Answers answers) {
        return answers == Answers.METRICS ? mNode.metricsPort() : mNode.clientPort();
    }

    private static String method(Answers answers) {
        return switch (answers) {
            case WHOLE, TO_LONG_REQUESTS, CHUNKED, EVENTS, EVENTS_TO_LONG_REQUESTS -> "POST";
            case RESULTS, ITEM_BODIES, METRICS -> "GET";
        };
    }

    private static long minBytes(Answers answers) {
        return switch (answers) {
            case WHOLE, CHUNKED, EVENTS, EVENTS_TO_LONG_REQUESTS -> LongAnswer.BYTES;
            case TO_LONG_REQUESTS -> LongAnswer.MEDIUM_BYTES;
            case RESULTS -> LongAnswer.ITEM_BYTES;
            case ITEM_BODIES -> ITEM_BODY_BYTES;
            case METRICS -> 1;
        };
    }

    // Ordinary clients

    private boolean awaitServed(Answers answers, String path) throws InterruptedException {
        return await(port(answers), path, method(answers), minBytes(answers));
    }

    private boolean awaitOrdinary() throws InterruptedException {
        return await(mNode.clientPort(), "/quotes/q", "POST", 1);
    }

    /** Sends a request until it is answered with at least so many bytes, or time has run out. */
    private boolean await(int port, String path, String method, long minBytes)
            throws InterruptedException {
        long untilMs = nowMs() + RECOVERY_MS;
        while (nowMs() < untilMs && !mNode.awaitExit(0)) {
            try {
                HttpRequest request =
                        request(port, path, newId())
                                .method(method, HttpRequest.BodyPublishers.noBody())
                                .build();
                HttpResponse<byte[]> response =
                        mHttp.send(request, HttpResponse.BodyHandlers.ofByteArray());
                if (response.statusCode() == OK && response.body().length >= minBytes) {
                    return true;
                }
            } catch (IOException e) {
                // Refused, as it may be; the client tries again.
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
        }
        return false;
    }

    private static HttpRequest.Builder request(int port, String path, String id) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(CALL_TIMEOUT)
                .header("X-Api-Key", HostedClients.KEY)
                .header("Attempt-Id", id);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
