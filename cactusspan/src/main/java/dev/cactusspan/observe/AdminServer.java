package dev.cactusspan.observe;

import dev.cactusspan.text.JsonText;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Health, readiness, metrics and status of a process over HTTP. */
public final class AdminServer implements AutoCloseable {
    private static final int IO_THREADS = 1;
    private static final int WORKER_THREADS = 2;

    private final Undertow mServer;

    /**
     * Creates a server; {@link #start} starts it.
     *
     * @param ip address to listen at
     * @param port port to listen at, zero for a free one
     * @param telemetry metrics to show
     * @param ready tells whether the process takes work
     * @param status makes the status, which is written as JSON
     */
    public AdminServer(
            String ip,
            int port,
            Telemetry telemetry,
            BooleanSupplier ready,
            Supplier<Object> status) {
        PathHandler paths =
                new PathHandler()
                        .addExactPath("/healthz", e -> sendText(e, StatusCodes.OK, "ok\n"))
                        .addExactPath("/readyz", e -> sendReadiness(e, ready.getAsBoolean()))
                        .addExactPath(
                                "/metrics", e -> sendText(e, StatusCodes.OK, telemetry.text()))
                        .addExactPath("/status", e -> sendJson(e, status.get()));
        HttpHandler root = e -> e.dispatch(paths);
        mServer =
                Undertow.builder()
                        .addHttpListener(port, ip)
                        .setIoThreads(IO_THREADS)
                        .setWorkerThreads(WORKER_THREADS)
                        .setHandler(root)
                        .build();
    }

    /** Starts the server. */
    public void start() {
        mServer.start();
    }

    /**
     * Returns the bound port.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) mServer.getListenerInfo().get(0).getAddress()).getPort();
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
        exchange.getResponseSender().send(text);
    }

    private static void sendJson(HttpServerExchange exchange, Object value) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(JsonText.write(value)));
    }

    @Override
    public void close() {
        mServer.stop();
    }
}
