package dev.cactusspan.standin;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import io.undertow.util.PathTemplateMatch;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for a plain service with holds that must run at most once. It counts the runs of each
 * idempotency key.
 */
public final class ServiceStandIn implements AutoCloseable {
    private static final String KEY = "Idempotency-Key";
    private static final long MICROS_PER_MS = 1_000;

    private final Map<String, Integer> mRuns = new TreeMap<>();
    private final AtomicLong mKeysSeen = new AtomicLong();
    private final StandInTimer mTimer = new StandInTimer("service-timer");
    private final Undertow mServer;
    private volatile long mDelayMs;

    private ServiceStandIn(String ip, int port) {
        HttpHandler routes =
                new RoutingHandler()
                        .post("/holds", this::hold)
                        .get("/holds/{key}", this::status)
                        .get("/queries", e -> StandInServer.sendJson(e, 200, "open"))
                        .post("/queries", this::echo)
                        .get("/runs", e -> StandInServer.sendJson(e, 200, runs()))
                        .get("/counters", e -> StandInServer.sendJson(e, 200, mKeysSeen.get()));
        mServer = StandInServer.start(ip, port, routes);
    }

    /**
     * Starts a service.
     *
     * @param ip address to listen on
     * @param port port to listen on, zero for a free one
     * @return the running service
     */
    public static ServiceStandIn start(String ip, int port) {
        return new ServiceStandIn(ip, port);
    }

    // Operations

    /**
     * Delays the response to each hold after it has run.
     *
     * @param delayMs the delay, in milliseconds
     */
    public void setDelay(long delayMs) {
        mDelayMs = delayMs;
    }

    private void hold(HttpServerExchange exchange) {
        countKeys(exchange);
        String key = exchange.getRequestHeaders().getFirst(KEY);
        int runs;
        synchronized (mRuns) {
            runs = mRuns.merge(String.valueOf(key), 1, Integer::sum);
        }
        exchange.dispatch();
        Hold response = new Hold(key, runs);
        mTimer.schedule(
                mDelayMs * MICROS_PER_MS,
                () ->
                        exchange.getIoThread()
                                .execute(() -> StandInServer.sendJson(exchange, 200, response)));
    }

    private void status(HttpServerExchange exchange) {
        String key =
                exchange.getAttachment(PathTemplateMatch.ATTACHMENT_KEY).getParameters().get("key");
        Integer runs;
        synchronized (mRuns) {
            runs = mRuns.get(key);
        }
        if (runs == null) {
            StandInServer.sendJson(exchange, 404, "no such hold");
            return;
        }
        StandInServer.sendJson(exchange, 200, new Hold(key, runs));
    }

    private void echo(HttpServerExchange exchange) {
        countKeys(exchange);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) ->
                                e.getResponseSender()
                                        .send(new String(body, StandardCharsets.UTF_8)));
    }

    private void countKeys(HttpServerExchange exchange) {
        if (exchange.getRequestHeaders().contains(Headers.AUTHORIZATION)) {
            mKeysSeen.incrementAndGet();
        }
    }

    // Accessors

    /**
     * Returns the number of runs of each key.
     *
     * @return runs by idempotency key
     */
    public Map<String, Integer> runs() {
        synchronized (mRuns) {
            return new TreeMap<>(mRuns);
        }
    }

    /**
     * Returns the bound port.
     *
     * @return the port
     */
    public int port() {
        return StandInServer.port(mServer);
    }

    @Override
    public void close() {
        mServer.stop();
        mTimer.close();
    }

    private record Hold(String key, int runs) {}
}
