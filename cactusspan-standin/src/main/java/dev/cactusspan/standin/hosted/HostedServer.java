package dev.cactusspan.standin.hosted;

import dev.cactusspan.text.JsonText;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Deque;

/** Shared parts of the emulator's HTTP servers. */
final class HostedServer {
    private static final int IO_THREADS = 1;
    private static final int WORKER_THREADS = 2;

    private HostedServer() {}

    static Undertow start(HttpHandler handler) {
        Undertow server =
                Undertow.builder()
                        .addHttpListener(0, "127.0.0.1")
                        .setIoThreads(IO_THREADS)
                        .setWorkerThreads(WORKER_THREADS)
                        .setHandler(handler)
                        .build();
        server.start();
        return server;
    }

    static int port(Undertow server) {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    static void json(HttpServerExchange exchange, int status, Object value) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(JsonText.write(value)));
    }

    static String query(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null || values.isEmpty() ? "" : values.getFirst();
    }

    static String header(HttpServerExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }
}
