package dev.cactusspan.standin;

import dev.cactusspan.text.JsonText;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Deque;

/** Utility methods for the stand-ins' HTTP servers. */
public final class StandInServer {
    /** Bodies as large as the product accepts are accepted. */
    private static final long NO_LIMIT = -1;

    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 8;

    private StandInServer() {}

    /**
     * Starts a server.
     *
     * @param ip address to listen on
     * @param port its port, zero for a free one
     * @param handler handles the requests
     * @return the running server
     */
    public static Undertow start(String ip, int port, HttpHandler handler) {
        Undertow server =
                Undertow.builder()
                        .addHttpListener(port, ip)
                        .setIoThreads(IO_THREADS)
                        .setWorkerThreads(WORKER_THREADS)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, NO_LIMIT)
                        .setHandler(handler)
                        .build();
        server.start();
        return server;
    }

    /**
     * Returns the port of a server.
     *
     * @param server the server
     * @return its port
     */
    public static int port(Undertow server) {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    /**
     * Sends a JSON response.
     *
     * @param exchange the request
     * @param status HTTP status
     * @param value the body
     */
    public static void sendJson(HttpServerExchange exchange, int status, Object value) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(JsonText.write(value)));
    }

    /**
     * Returns a query parameter.
     *
     * @param exchange the request
     * @param name its name
     * @param defaultValue value to return if it is absent
     * @return its first value
     */
    public static String queryParameter(
            HttpServerExchange exchange, String name, String defaultValue) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null || values.isEmpty() ? defaultValue : values.getFirst();
    }

    static long longParameter(HttpServerExchange exchange, String name, long defaultValue) {
        return Long.parseLong(queryParameter(exchange, name, Long.toString(defaultValue)));
    }

    /**
     * Returns a header.
     *
     * @param exchange the request
     * @param name its name
     * @return its first value, empty if it is absent
     */
    public static String header(HttpServerExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }
}
