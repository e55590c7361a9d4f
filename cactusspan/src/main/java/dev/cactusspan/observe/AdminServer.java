package dev.cactusspan.observe;

import dev.cactusspan.http.GuardedConnection;
import dev.cactusspan.http.GuardedServer;
import dev.cactusspan.intake.CallerLimits;
import dev.cactusspan.intake.IntakeReport;
import dev.cactusspan.intake.MemoryBudget;
import dev.cactusspan.text.JsonText;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Serves health, readiness, metrics and status of a process over HTTP. */
public final class AdminServer implements AutoCloseable {
    private static final int WORKER_THREADS = 2;

    /** Part of the heap for callers, who send nothing but short requests. */
    private static final int HEAP_DIVISOR = 8;

    /** Limits on callers: a few monitors, which send short requests without a body. */
    private static final CallerLimits LIMITS = new CallerLimits(32, 8 << 10, 0, 3_000, 60_000);

    private final InetSocketAddress mAddress;
    private final HttpHandler mPaths;
    private final GuardedServer mServer;
    private int mPort;

    /**
     * Creates a server. It runs after {@link #start}.
     *
     * @param ip address to listen on
     * @param port port to listen on, zero for any free port
     * @param telemetry the metrics to serve
     * @param ready returns whether the process accepts requests
     * @param status supplies the status, which is written as JSON
     */
    public AdminServer(
            String ip,
            int port,
            Telemetry telemetry,
            BooleanSupplier ready,
            Supplier<Object> status) {
        PathHandler paths =
                // Undertow's own answer would have the parser read the rest of the request.
                new PathHandler(e -> sendText(e, StatusCodes.NOT_FOUND, "not found\n"))
                        .addExactPath("/healthz", e -> sendText(e, StatusCodes.OK, "ok\n"))
                        .addExactPath("/readyz", e -> sendReadiness(e, ready.getAsBoolean()))
                        .addExactPath(
                                "/metrics", e -> sendText(e, StatusCodes.OK, telemetry.text()))
                        .addExactPath("/status", e -> sendJson(e, status.get()));
        mAddress = new InetSocketAddress(ip, port);
        mPaths = paths;
        mServer =
                GuardedServer.create(
                        "admin",
                        WORKER_THREADS,
                        MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR),
                        new IntakeReport(
                                refusal ->
                                        telemetry.count(
                                                "admin_callers_refused_total",
                                                "reason",
                                                refusal.label()),
                                (counts, nowMs) -> {}));
    }

    /** Starts the server. */
    public void start() {
        try {
            mPort = mServer.listen(mAddress, () -> LIMITS, this::handle);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen at " + mAddress, e);
        }
    }

    private void handle(HttpServerExchange exchange, GuardedConnection connection) {
        if (connection.admit(0, 0, () -> {}).isEmpty()) {
            sendText(exchange, StatusCodes.SERVICE_UNAVAILABLE, "no memory\n");
            return;
        }
        connection.onRequestRead();
        exchange.dispatch(mPaths);
    }

    /**
     * Returns the bound port.
     *
     * @return the port
     */
    public int port() {
        return mPort;
    }

    private static void sendReadiness(HttpServerExchange exchange, boolean isReady) {
        if (isReady) {
            sendText(exchange, StatusCodes.OK, "ready\n");
            return;
        }
        sendText(exchange, StatusCodes.SERVICE_UNAVAILABLE, "not ready\n");
    }

    private static void sendText(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
        GuardedConnection.send(exchange, text.getBytes(StandardCharsets.UTF_8));
    }

    private static void sendJson(HttpServerExchange exchange, Object value) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        GuardedConnection.send(exchange, JsonText.write(value));
    }

    @Override
    public void close() {
        mServer.close();
    }
}
