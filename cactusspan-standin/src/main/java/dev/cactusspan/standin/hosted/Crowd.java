package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Clients that misbehave in the same way.
 *
 * @param name the way
 * @param port the port that they connect to
 * @param connections how many
 * @param scripts what they send, in turn
 */
record Crowd(String name, int port, int connections, List<CrowdConnection.Script> scripts) {
    /** Paths of the door: with a route, for a batch, without a route, and of own calls. */
    private static final List<String> PATHS =
            List.of("/quotes/c", "/train/c", "/nowhere/c", "/-/lots/c", "/-/readyz");

    private static final long TURN_MS = 20;

    /** Bytes that a crowd sends at most. */
    private static final long MAX_BYTES = 600_000_000;

    private static final int UNIT_BYTES = 1_024;
    private static final int FAST = 64;

    /** Returns the crowds that come to a process, one after another. */
    static List<Crowd> all(GatewayNode node) {
        List<Crowd> crowds = new ArrayList<>();
        for (int port : List.of(node.clientPort(), node.readyPort(), node.metricsPort())) {
            crowds.add(of("large bodies, stopped", port, 40, p -> body(p, 33_000_000, FAST)));
            crowds.add(of("medium bodies, stopped", port, 200, p -> body(p, 1_500_000, FAST)));
            crowds.add(of("small bodies, stopped", port, 600, p -> body(p, 60_000, FAST)));
            crowds.add(of("slow bodies", port, 300, p -> body(p, 400_000, 1)));
            crowds.add(of("chunks, stopped", port, 60, p -> chunks(p, 30_000)));
            crowds.add(of("bodies over the limit", port, 20, p -> body(p, 100_000_000, FAST)));
            crowds.add(of("chunks over the limit", port, 10, p -> chunks(p, 60_000)));
            crowds.add(of("many short fields", port, 30, Crowd::shortFields));
            crowds.add(of("many short headers", port, 200, Crowd::shortHeaders));
            crowds.add(of("sent ahead", port, 60, Crowd::sentAhead));
            crowds.add(of("half headers", port, 1_000, Crowd::halfHeader));
        }
        crowds.add(of("streams not read", node.clientPort(), 120, p -> stream()));
        crowds.add(of("silent", node.clientPort(), 1_200, p -> script("", "", 0, 0)));
        crowds.add(of("silent at the probe", node.readyPort(), 400, p -> script("", "", 0, 0)));
        crowds.add(new Crowd("links", node.linkPort(), 300, frames()));
        return crowds;
    }

    /**
     * Connects and sends for some time, and then closes all connections.
     *
     * @param lengthMs that time, in milliseconds
     * @param isOver ends that time early
     * @param onTurn run after each turn
     */
    void play(long lengthMs, BooleanSupplier isOver, Runnable onTurn) {
        List<CrowdConnection> open = new ArrayList<>();
        long untilMs = nowMs() + lengthMs;
        long sentBytes = 0;
        try {
            while (nowMs() < untilMs && !isOver.getAsBoolean()) {
                connectSome(open);
                for (CrowdConnection connection : open) {
                    sentBytes += sentBytes < MAX_BYTES ? connection.send() : 0;
                }
                onTurn.run();
                TimeUnit.MILLISECONDS.sleep(TURN_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("the crowd " + name + " was interrupted", e);
        } finally {
            open.forEach(CrowdConnection::close);
        }
    }

    /** Opens some of the connections that are missing, so that not all come in one instant. */
    private void connectSome(List<CrowdConnection> open) {
        int missing = connections - open.size();
        for (int i = 0; i < Math.min(missing, 1 + connections / 20); i++) {
            try {
                open.add(new CrowdConnection(port, scripts.get(open.size() % scripts.size())));
            } catch (IOException e) {
                // The process refuses the connection, as it may.
                return;
            }
        }
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    interface ScriptFactory {
        CrowdConnection.Script of(String path);
    }

    static Crowd of(String name, int port, int connections, ScriptFactory factory) {
        return new Crowd(name, port, connections, PATHS.stream().map(factory::of).toList());
    }

    static CrowdConnection.Script script(String head, String unit, long units, int unitsPerTurn) {
        return new CrowdConnection.Script(
                head.getBytes(StandardCharsets.ISO_8859_1),
                unit.getBytes(StandardCharsets.ISO_8859_1),
                units,
                unitsPerTurn);
    }

    static String head(String path, String more) {
        return String.join(
                "\r\n",
                "POST " + path + " HTTP/1.1",
                "Host: 127.0.0.1",
                "Attempt-Id: crowd",
                "X-Api-Key: " + HostedClients.KEY,
                more + "\r\n");
    }

    /** A body of a length that it doesn't reach. */
    private static CrowdConnection.Script body(String path, long length, int unitsPerTurn) {
        return script(
                head(path, "Content-Length: " + length + "\r\n"),
                "x".repeat(UNIT_BYTES),
                (length - 1) / UNIT_BYTES,
                unitsPerTurn);
    }

    /** A body in chunks whose last one never comes. */
    private static CrowdConnection.Script chunks(String path, long units) {
        return script(
                head(path, "Transfer-Encoding: chunked\r\n"),
                "400\r\n" + "x".repeat(UNIT_BYTES) + "\r\n",
                units,
                FAST);
    }

    private static CrowdConnection.Script shortFields(String path) {
        String item = "{\"id\":\"%\",\"path\":\"/\"},".repeat(64);
        long units = 20_000;
        return script(
                head(path, "Content-Length: " + (units * item.length() + 10) + "\r\n")
                        + "{\"items\":[",
                item,
                units,
                FAST);
    }

    private static CrowdConnection.Script shortHeaders(String path) {
        StringBuilder headers = new StringBuilder();
        for (int i = 0; i < 1_500; i++) {
            headers.append("x").append(i).append(": y\r\n");
        }
        return script(head(path, headers.toString()), "", 0, 0);
    }

    private static CrowdConnection.Script sentAhead(String path) {
        return script("", head(path, "Content-Length: 1\r\n") + "q", 20_000, FAST);
    }

    private static CrowdConnection.Script halfHeader(String path) {
        return script("POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nx: ", "y", 4_000, 1);
    }

    private static CrowdConnection.Script stream() {
        return script(
                "", head(TargetEmulator.STREAM_PREFIX + "c", "Content-Length: 0\r\n"), 500, 4);
    }

    private static List<CrowdConnection.Script> frames() {
        String half = "\u0001\u0000\u0000\u0000";
        return List.of(
                script("\u007f\u00ff\u00ff\u00ff", "x".repeat(UNIT_BYTES), 30_000, FAST),
                script(half, "x".repeat(UNIT_BYTES), 16_000, FAST),
                script("\u0000\u0000", "", 0, 0),
                script("", "", 0, 0),
                script("\u0000\u0000\u0000\u0001\u00c0", "x".repeat(UNIT_BYTES), 30_000, FAST));
    }
}
