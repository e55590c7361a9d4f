package dev.cactusspan.standin;

import dev.cactusspan.text.JsonText;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Deque;

/** Shared parts of the stand-ins' HTTP servers. */
final class StandInServer {
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 8;

    private StandInServer() {}

    static Undertow start(String ip, int port, HttpHandler handler) {
        Undertow server =
                Undertow.builder()
                        .addHttpListener(port, ip)
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

    static String query(HttpServerExchange exchange, String name, String other) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null || values.isEmpty() ? other : values.getFirst();
    }

    static long number(HttpServerExchange exchange, String name, long other) {
        return Long.parseLong(query(exchange, name, Long.toString(other)));
    }
}
