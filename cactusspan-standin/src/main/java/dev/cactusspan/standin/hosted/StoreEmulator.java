package dev.cactusspan.standin.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.standin.StandInServer;
import dev.cactusspan.text.JsonText;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.IoUtils;

/**
 * Emulates the platform's metadata store over HTTP, with faults that a test can switch on and off.
 */
public final class StoreEmulator implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;
    private static final long TICK_MS = 20;

    private final MemoryStore mStore = new MemoryStore();
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final AtomicLong mRequests = new AtomicLong();
    private final Undertow mServer;
    private volatile boolean mIsDown;
    private volatile int mLoseResponseOneIn;

    private StoreEmulator() {
        HttpHandler routes =
                new RoutingHandler()
                        .get("/-/kv-key", this::get)
                        .get("/-/kv-range", this::range)
                        .get("/-/kv-watch", this::watch)
                        .post(
                                "/-/kv-txn",
                                e -> e.getRequestReceiver().receiveFullBytes(this::commit))
                        .post(
                                "/-/kv-lease",
                                e -> e.getRequestReceiver().receiveFullBytes(this::grant))
                        .post("/-/kv-keep/{lease}", this::renew)
                        .delete("/-/kv-lease-end/{lease}", this::revoke);
        mServer = StandInServer.start("127.0.0.1", 0, e -> handle(e, routes));
        var unused =
                mTimer.scheduleAtFixedRate(
                        () -> mStore.expire(nowMs()), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts a store on a free port of loopback.
     *
     * @return the running store
     */
    public static StoreEmulator start() {
        return new StoreEmulator();
    }

    // Operations

    /**
     * Makes the store unavailable or available again.
     *
     * @param isDown true to respond to each request with 503
     */
    public void setDown(boolean isDown) {
        mIsDown = isDown;
    }

    /**
     * Drops some responses to requests that took effect.
     *
     * @param oneIn one in how many requests that change data loses its response, zero for none
     */
    public void loseOneResponseIn(int oneIn) {
        mLoseResponseOneIn = oneIn;
    }

    /** Discards the history of changes, so that watchers must read all items again. */
    public void dropHistory() {
        mStore.dropHistory();
    }

    /**
     * Writes a key as an operator or a target does.
     *
     * @param key the key
     * @param value the value, written as JSON
     */
    public void put(String key, Object value) {
        mStore.commit(
                List.of(),
                List.of(new MemoryStore.Write(key, JsonText.write(value), 0)),
                List.of());
    }

    /**
     * Removes a key.
     *
     * @param key the key
     */
    public void delete(String key) {
        mStore.commit(List.of(), List.of(), List.of(key));
    }

    private void handle(HttpServerExchange exchange, HttpHandler routes) throws Exception {
        mRequests.incrementAndGet();
        if (mIsDown) {
            exchange.setStatusCode(503);
            exchange.endExchange();
            return;
        }
        routes.handleRequest(exchange);
    }

    private boolean isResponseLost(HttpServerExchange exchange) {
        boolean isResponseLost =
                mLoseResponseOneIn > 0 && mRequests.get() % mLoseResponseOneIn == 0;
        if (isResponseLost) {
            IoUtils.safeClose(exchange.getConnection());
        }
        return isResponseLost;
    }

    private void get(HttpServerExchange exchange) {
        Optional<MemoryStore.Item> item =
                mStore.get(StandInServer.queryParameter(exchange, "key", ""));
        if (item.isEmpty()) {
            exchange.setStatusCode(404);
            exchange.endExchange();
            return;
        }
        Map<String, Object> body = json(item.get());
        body.put("as_of", mStore.revision());
        StandInServer.sendJson(exchange, 200, body);
    }

    private void range(HttpServerExchange exchange) {
        List<MemoryStore.Item> items =
                mStore.range(
                        StandInServer.queryParameter(exchange, "prefix", ""),
                        StandInServer.queryParameter(exchange, "after", ""));
        List<Map<String, Object>> page =
                items.stream().limit(PAGE_ITEMS).map(StoreEmulator::json).toList();
        StandInServer.sendJson(
                exchange,
                200,
                Map.of(
                        "items",
                        page,
                        "has_more",
                        items.size() > PAGE_ITEMS,
                        "as_of",
                        mStore.revision()));
    }

    private void watch(HttpServerExchange exchange) {
        long after = Long.parseLong(StandInServer.queryParameter(exchange, "after", ""));
        long waitMs = Long.parseLong(StandInServer.queryParameter(exchange, "wait_ms", ""));
        String prefix = StandInServer.queryParameter(exchange, "prefix", "");
        exchange.dispatch();
        mStore.watch(
                prefix,
                after,
                nowMs() + waitMs,
                result -> exchange.getIoThread().execute(() -> sendChanges(exchange, result)));
    }

    private static void sendChanges(HttpServerExchange exchange, MemoryStore.WatchResult result) {
        if (result.events().isEmpty()) {
            exchange.setStatusCode(410);
            exchange.endExchange();
            return;
        }
        List<Map<String, Object>> events =
                result.events().get().stream().map(StoreEmulator::json).toList();
        StandInServer.sendJson(exchange, 200, Map.of("events", events, "as_of", result.revision()));
    }

    private void commit(HttpServerExchange exchange, byte[] body) {
        JsonNode node = JsonText.read(body, JsonNode.class).get();
        List<MemoryStore.Condition> conditions = new ArrayList<>();
        node.path("expected")
                .forEach(
                        n ->
                                conditions.add(
                                        new MemoryStore.Condition(
                                                n.path("key").asText(),
                                                n.path("revision").asLong())));
        List<MemoryStore.Write> writes = new ArrayList<>();
        for (JsonNode n : node.path("writes")) {
            long lease = n.path("lease").asLong();
            if (lease != 0 && !mStore.hasLease(lease)) {
                exchange.setStatusCode(404);
                exchange.endExchange();
                return;
            }
            byte[] value = Base64.getDecoder().decode(n.path("value").asText());
            writes.add(new MemoryStore.Write(n.path("key").asText(), value, lease));
        }
        List<String> deletes = new ArrayList<>();
        node.path("deletes").forEach(n -> deletes.add(n.asText()));
        Optional<Long> revision = mStore.commit(conditions, writes, deletes);
        if (isResponseLost(exchange)) {
            return;
        }
        StandInServer.sendJson(
                exchange,
                revision.isPresent() ? 200 : 412,
                revision.isPresent() ? Map.of("revision", revision.get()) : Map.of());
    }

    private void grant(HttpServerExchange exchange, byte[] body) {
        long ttlMs = JsonText.read(body, JsonNode.class).get().path("ttl_ms").asLong();
        long lease = mStore.grant(ttlMs, nowMs());
        StandInServer.sendJson(exchange, 200, Map.of("lease", lease, "ttl_ms", ttlMs));
    }

    private void renew(HttpServerExchange exchange) {
        Optional<Long> ttlMs = mStore.renew(lease(exchange), nowMs());
        if (isResponseLost(exchange)) {
            return;
        }
        StandInServer.sendJson(
                exchange, ttlMs.isPresent() ? 200 : 404, Map.of("ttl_ms", ttlMs.orElse(0L)));
    }

    private void revoke(HttpServerExchange exchange) {
        mStore.revoke(lease(exchange));
        exchange.endExchange();
    }

    private static long lease(HttpServerExchange exchange) {
        return Long.parseLong(StandInServer.queryParameter(exchange, "lease", ""));
    }

    private static Map<String, Object> json(MemoryStore.Item item) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("key", item.key());
        json.put("revision", item.revision());
        if (item.value().isEmpty()) {
            json.put("deleted", true);
            return json;
        }
        json.put("value", Base64.getEncoder().encodeToString(item.value().get()));
        json.put("created", item.created());
        json.put("lease", item.lease());
        return json;
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    // Accessors

    /**
     * Returns the number of requests.
     *
     * @return requests since the start
     */
    public long requestCount() {
        return mRequests.get();
    }

    /**
     * Returns the port.
     *
     * @return the port
     */
    public int port() {
        return StandInServer.port(mServer);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mServer.stop();
    }
}
