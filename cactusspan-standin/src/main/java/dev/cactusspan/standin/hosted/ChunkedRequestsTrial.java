package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Sends crowds of requests in chunks to one real process: trailers without end, chunks of one byte,
 * and chunks that stop before their end. An ordinary request follows.
 */
public final class ChunkedRequestsTrial {
    /** Time that a crowd stays, in milliseconds. */
    private static final long CROWD_MS = 5_000;

    /** Time within which the ordinary request is answered, with retries, in milliseconds. */
    private static final long RETRY_MS = 30_000;

    private static final long RETRY_INTERVAL_MS = 500;
    private static final int ATTEMPT_MS = 5_000;
    private static final int CALM_MS = 60_000;
    private static final int TRAILER_CROWD = 60;
    private static final int LARGE_CHUNK_CROWD = 200;
    private static final int SMALL_CHUNK_CROWD = 400;
    private static final int LONG_SMALL_CHUNK_CROWD = 1_000;
    private static final int UNIT_BYTES = 32 << 10;
    private static final int DISTINCT_FIELDS = 40_000;
    private static final int SMALL_CHUNKS = 200_000;
    private static final int LONG_SMALL_CHUNKS = 32_000_000;
    private static final int SMALL_CHUNKS_IN_CALM = 20_000;
    private static final int LARGE_BYTES = 33_000_000;
    private static final int LARGE_CHUNK_BYTES = 4 << 20;
    private static final int MISSING_BYTES = 64 << 10;
    private static final int UNITS_PER_TURN = 8;
    private static final String CHUNK_OF_ONE_BYTE = "1\r\nx\r\n";
    private static final String LAST_CHUNK = "0\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    private ChunkedRequestsTrial() {}

    /** What a crowd sends. */
    public enum Kind {
        /** A trailer field whose name does not end. */
        ENDLESS_TRAILER(TRAILER_CROWD),
        /** Trailer fields without end. */
        SHORT_TRAILERS(TRAILER_CROWD),
        /** Bodies in chunks of one byte, stopped before the last chunk. */
        SMALL_CHUNKS(SMALL_CHUNK_CROWD),
        /** Longer bodies in chunks of one byte. */
        LONG_SMALL_CHUNKS(LONG_SMALL_CHUNK_CROWD),
        /** Bodies of one chunk, stopped before its end. */
        LARGE_CHUNK(LARGE_CHUNK_CROWD);

        private final int mConnections;

        Kind(int connections) {
            mConnections = connections;
        }

        private CrowdConnection.Script script(String path) {
            return switch (this) {
                case ENDLESS_TRAILER -> trailers(path, "x".repeat(UNIT_BYTES));
                case SHORT_TRAILERS -> trailers(path, shortFields());
                case SMALL_CHUNKS -> smallChunks(path, ChunkedRequestsTrial.SMALL_CHUNKS);
                case LONG_SMALL_CHUNKS -> smallChunks(path, ChunkedRequestsTrial.LONG_SMALL_CHUNKS);
                case LARGE_CHUNK -> largeChunk(path);
            };
        }

        private Crowd crowd(int port) {
            return Crowd.of(name(), port, mConnections, this::script);
        }

        private static Crowd mixed(int port) {
            List<CrowdConnection.Script> scripts = new ArrayList<>();
            int connections = 0;
            for (Kind kind : values()) {
                scripts.addAll(kind.crowd(port).scripts());
                connections = Math.max(connections, kind.mConnections);
            }
            return new Crowd("mixed", port, connections, scripts);
        }
    }

    /**
     * Result of a trial.
     *
     * @param isAlive true if the process still runs
     * @param isAnswered true if the ordinary request was answered
     * @param peakMemoryKb the largest memory of the process, in KB
     * @param peakDescriptors the most open descriptors of the process
     */
    public record Outcome(
            boolean isAlive, boolean isAnswered, long peakMemoryKb, long peakDescriptors) {}

    private static final class Peak {
        private volatile long mDescriptors;

        private void sample(GatewayNode node) {
            mDescriptors = Math.max(mDescriptors, node.openDescriptors());
        }
    }

    // Operations

    /**
     * Sends a crowd to the clients' address of an entry.
     *
     * @param folder where settings and logs are written
     * @param kind what it sends
     * @return its result
     */
    public static Outcome toClientAddress(Path folder, Kind kind) {
        return toEntry(folder, node -> List.of(kind.crowd(node.clientPort())));
    }

    /**
     * Sends crowds that mix all kinds to the clients' address of an entry, and then to the
     * addresses of its readiness and metrics.
     *
     * @param folder where settings and logs are written
     * @return its result
     */
    public static Outcome toAllAddresses(Path folder) {
        return toEntry(
                folder,
                node ->
                        List.of(
                                Kind.mixed(node.clientPort()),
                                Kind.mixed(node.readyPort()),
                                Kind.mixed(node.metricsPort())));
    }

    /**
     * Sends a crowd to the clients' address of an entry, and the ordinary request while the crowd
     * is there.
     *
     * @param folder where settings and logs are written
     * @param kind what it sends
     * @return its result
     */
    public static Outcome besideClients(Path folder, Kind kind) {
        try (HostedDeployment deployment =
                HostedDeployment.start(
                        folder, 1, NodeCommand.DEPLOYED, HostedDeployment.StoreProxy.NONE)) {
            GatewayNode node = deployment.nodes().get(0);
            AtomicBoolean isOver = new AtomicBoolean();
            Peak peak = new Peak();
            Thread crowd =
                    new Thread(
                            () ->
                                    kind.crowd(node.clientPort())
                                            .play(
                                                    CROWD_MS + RETRY_MS,
                                                    isOver::get,
                                                    () -> peak.sample(node)));
            crowd.start();
            Thread.sleep(CROWD_MS);
            boolean isAnswered = retry(node, RETRY_MS, ChunkedRequestsTrial::isQuoteAnswered);
            isOver.set(true);
            crowd.join();
            return new Outcome(
                    !node.awaitExit(0), isAnswered, node.peakMemoryKb(), peak.mDescriptors);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("the trial was interrupted", e);
        }
    }

    private interface Crowds {
        List<Crowd> of(GatewayNode node);
    }

    private static Outcome toEntry(Path folder, Crowds crowds) {
        try (HostedDeployment deployment =
                HostedDeployment.start(
                        folder, 1, NodeCommand.DEPLOYED, HostedDeployment.StoreProxy.NONE)) {
            GatewayNode node = deployment.nodes().get(0);
            return run(node, crowds.of(node), ChunkedRequestsTrial::isQuoteAnswered);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Sends crowds that mix all kinds, and then one of trailers, to the metrics address of a
     * process of a VM with a disk.
     *
     * @param folder where settings and logs are written
     * @return its result
     */
    public static Outcome toStorage(Path folder) {
        try (HostedDeployment deployment =
                HostedDeployment.start(folder, 1, HostedDeployment.StoreProxy.NONE)) {
            GatewayNode node = deployment.startStorage(folder);
            Predicate<GatewayNode> answers =
                    n -> status(n.metricsPort(), metrics(), ATTEMPT_MS) == 200;
            if (!retry(node, RETRY_MS, answers)) {
                throw new IOException(node.name() + " did not start; see " + folder);
            }
            List<Crowd> crowds =
                    List.of(
                            Kind.mixed(node.metricsPort()),
                            Kind.SHORT_TRAILERS.crowd(node.metricsPort()));
            return run(node, crowds, answers);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Sends single requests inside the limits, one after another.
     *
     * @param folder where settings and logs are written
     * @return the status of a large body, a body with a trailer, and a body in small chunks
     */
    public static List<Integer> inCalm(Path folder) {
        try (HostedDeployment deployment =
                HostedDeployment.start(
                        folder, 1, NodeCommand.DEPLOYED, HostedDeployment.StoreProxy.NONE)) {
            int port = deployment.nodes().get(0).clientPort();
            String large = Integer.toHexString(LARGE_BYTES) + "\r\n" + "x".repeat(LARGE_BYTES);
            return Stream.of(
                            large + "\r\n" + LAST_CHUNK,
                            CHUNK_OF_ONE_BYTE + LAST_CHUNK + "X-Sum: 1f\r\n",
                            CHUNK_OF_ONE_BYTE.repeat(SMALL_CHUNKS_IN_CALM) + LAST_CHUNK)
                    .map(body -> status(port, chunked("/quotes/c", body + "\r\n"), CALM_MS))
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Outcome run(
            GatewayNode node, List<Crowd> crowds, Predicate<GatewayNode> answers) {
        Peak peak = new Peak();
        crowds.forEach(crowd -> crowd.play(CROWD_MS, () -> false, () -> peak.sample(node)));
        boolean isAnswered = retry(node, RETRY_MS, answers);
        return new Outcome(!node.awaitExit(0), isAnswered, node.peakMemoryKb(), peak.mDescriptors);
    }

    private static boolean retry(GatewayNode node, long lengthMs, Predicate<GatewayNode> answers) {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lengthMs);
        while (System.nanoTime() < untilNs) {
            if (answers.test(node)) {
                return true;
            }
            // It ends the wait as well if the process has ended.
            if (node.awaitExit(RETRY_INTERVAL_MS)) {
                return false;
            }
        }
        return false;
    }

    // Requests

    private static CrowdConnection.Script trailers(String path, String unit) {
        return Crowd.script(
                chunked(path, CHUNK_OF_ONE_BYTE + LAST_CHUNK), unit, 1_000, UNITS_PER_TURN);
    }

    private static String shortFields() {
        return IntStream.range(0, DISTINCT_FIELDS)
                .mapToObj(i -> Integer.toString(i, Character.MAX_RADIX) + ":\r\n")
                .collect(Collectors.joining());
    }

    private static CrowdConnection.Script smallChunks(String path, int chunks) {
        int perUnit = UNIT_BYTES / CHUNK_OF_ONE_BYTE.length();
        return Crowd.script(
                chunked(path, ""),
                CHUNK_OF_ONE_BYTE.repeat(perUnit),
                chunks / perUnit,
                UNITS_PER_TURN);
    }

    private static CrowdConnection.Script largeChunk(String path) {
        return Crowd.script(
                chunked(path, Integer.toHexString(LARGE_CHUNK_BYTES) + "\r\n"),
                "x".repeat(UNIT_BYTES),
                (LARGE_CHUNK_BYTES - MISSING_BYTES) / UNIT_BYTES,
                UNITS_PER_TURN);
    }

    private static String chunked(String path, String body) {
        return Crowd.head(path, CHUNKED) + body;
    }

    private static String quote() {
        return Crowd.head("/quotes/c", "Deadline-Ms: 3000\r\nContent-Length: 1\r\n") + "q";
    }

    private static boolean isQuoteAnswered(GatewayNode node) {
        return status(node.clientPort(), quote(), ATTEMPT_MS) == 200;
    }

    private static String metrics() {
        return "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    /** Sends a request; returns its status, zero if there was no response in time. */
    private static int status(int port, String request, int timeoutMs) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            ByteBuffer line =
                    ByteBuffer.wrap(socket.getInputStream().readNBytes("HTTP/1.1 200".length()));
            String text = StandardCharsets.ISO_8859_1.decode(line).toString();
            return text.isEmpty() ? 0 : Integer.parseInt(text.substring(text.indexOf(' ') + 1));
        } catch (IOException e) {
            // The process has ended, has refused the connection or has not answered in time.
            return 0;
        }
    }
}
