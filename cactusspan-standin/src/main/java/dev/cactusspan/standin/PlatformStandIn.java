package dev.cactusspan.standin;

import dev.cactusspan.id.VmId;
import dev.cactusspan.membership.VmRecord;
import dev.cactusspan.platform.KeyValueService.Entry;
import dev.cactusspan.text.JsonText;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for the platform: key-value service, VM list, target interface and usage interface,
 * with faults that a test can switch on and off.
 */
public final class PlatformStandIn implements AutoCloseable {
    private static final HttpString VERSION = new HttpString("kv-version");
    private static final long EXPIRE_INTERVAL_MS = 20;
    private static final long MICROS_PER_MS = 1_000;

    private final FakeKeyValueService mKeyValues = new FakeKeyValueService();
    private final Map<VmId, VmRecord> mVms = new ConcurrentHashMap<>();
    private final AtomicLong mVmListVersion = new AtomicLong();
    private final List<Object> mOrders = new ArrayList<>();
    private final List<Object> mUsageReports = new ArrayList<>();
    private final StandInTimer mTimer = new StandInTimer("platform-timer");
    private final Undertow mServer;
    private volatile Faults mFaults = Faults.NONE;

    private PlatformStandIn(String ip, int port) {
        HttpHandler routes =
                new RoutingHandler()
                        .get("/kv", this::read)
                        .put("/kv", this::write)
                        .get("/vms", this::listVms)
                        .put("/vms", this::putVm)
                        .post("/targets/orders", e -> record(e, mOrders))
                        .get("/targets/orders", e -> sendRecorded(e, mOrders))
                        .post("/usage", e -> record(e, mUsageReports))
                        .get("/usage", e -> sendRecorded(e, mUsageReports))
                        .put("/faults", this::putFaults)
                        .get(
                                "/counters",
                                e -> StandInServer.sendJson(e, 200, mKeyValues.counters()));
        mServer = StandInServer.start(ip, port, routes);
        mTimer.scheduleRepeating(
                EXPIRE_INTERVAL_MS * MICROS_PER_MS, () -> mKeyValues.expireWatches(nowMs()));
    }

    /**
     * Starts a platform.
     *
     * @param ip address to listen on
     * @param port port to listen on, zero for a free one
     * @return the running platform
     */
    public static PlatformStandIn start(String ip, int port) {
        return new PlatformStandIn(ip, port);
    }

    // Operations

    /**
     * Sets the faults of the key-value service.
     *
     * @param faults the faults from now on
     */
    public void setFaults(Faults faults) {
        mFaults = faults;
    }

    /**
     * Adds a VM to the VM list, or replaces it.
     *
     * @param vm the VM
     */
    public void listVm(VmRecord vm) {
        mVms.put(vm.vm(), vm);
        mVmListVersion.incrementAndGet();
    }

    private void read(HttpServerExchange exchange) {
        if (isDown(exchange)) {
            return;
        }
        String key = StandInServer.queryParameter(exchange, "key", "");
        long after = StandInServer.longParameter(exchange, "after", -1);
        if (after < 0) {
            runDelayed(exchange, () -> sendEntry(exchange, mKeyValues.get(key), 404));
            return;
        }
        long untilMs = nowMs() + StandInServer.longParameter(exchange, "wait_ms", 0);
        exchange.dispatch();
        mKeyValues.watch(
                key,
                after,
                untilMs,
                entry -> exchange.getIoThread().execute(() -> sendEntry(exchange, entry, 304)));
    }

    private static void sendEntry(
            HttpServerExchange exchange, Optional<Entry> entry, int absentStatus) {
        if (entry.isEmpty()) {
            exchange.setStatusCode(absentStatus);
            exchange.endExchange();
            return;
        }
        exchange.getResponseHeaders().put(VERSION, entry.get().version());
        exchange.getResponseSender().send(ByteBuffer.wrap(entry.get().value()));
    }

    private void write(HttpServerExchange exchange) {
        if (isDown(exchange)) {
            return;
        }
        String key = StandInServer.queryParameter(exchange, "key", "");
        long expected = StandInServer.longParameter(exchange, "expect", 0);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, value) ->
                                runDelayed(
                                        e,
                                        () ->
                                                sendVersion(
                                                        e,
                                                        mKeyValues.compareAndSwap(
                                                                key, expected, value))));
    }

    private void sendVersion(HttpServerExchange exchange, Optional<Long> version) {
        if (mFaults.losesReplies()) {
            exchange.setStatusCode(503);
            exchange.endExchange();
            return;
        }
        exchange.setStatusCode(version.isPresent() ? 200 : 409);
        version.ifPresent(v -> exchange.getResponseHeaders().put(VERSION, v));
        exchange.endExchange();
    }

    private boolean isDown(HttpServerExchange exchange) {
        if (!mFaults.down()) {
            return false;
        }
        exchange.setStatusCode(503);
        exchange.endExchange();
        return true;
    }

    private void runDelayed(HttpServerExchange exchange, Runnable task) {
        long delayMs = mFaults.delayMs();
        if (delayMs == 0) {
            task.run();
            return;
        }
        exchange.dispatch();
        mTimer.schedule(delayMs * MICROS_PER_MS, () -> exchange.getIoThread().execute(task));
    }

    private void listVms(HttpServerExchange exchange) {
        String tag = "\"" + mVmListVersion.get() + "\"";
        exchange.getResponseHeaders().put(Headers.ETAG, tag);
        if (tag.equals(exchange.getRequestHeaders().getFirst(Headers.IF_NONE_MATCH))) {
            exchange.setStatusCode(304);
            exchange.endExchange();
            return;
        }
        String environment = StandInServer.queryParameter(exchange, "environment", "");
        List<VmRecord> vms =
                mVms.values().stream()
                        .filter(v -> v.environment().value().equals(environment))
                        .toList();
        StandInServer.sendJson(exchange, 200, vms);
    }

    private void putVm(HttpServerExchange exchange) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> {
                            listVm(JsonText.read(body, VmRecord.class).get());
                            StandInServer.sendJson(e, 200, mVms.size());
                        });
    }

    private void putFaults(HttpServerExchange exchange) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> {
                            mFaults = JsonText.read(body, Faults.class).get();
                            StandInServer.sendJson(e, 200, mFaults);
                        });
    }

    private static void record(HttpServerExchange exchange, List<Object> log) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> {
                            synchronized (log) {
                                log.add(JsonText.read(body, Object.class).get());
                            }
                            StandInServer.sendJson(e, 200, "taken");
                        });
    }

    private static void sendRecorded(HttpServerExchange exchange, List<Object> log) {
        List<Object> copy;
        synchronized (log) {
            copy = List.copyOf(log);
        }
        StandInServer.sendJson(exchange, 200, copy);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    // Accessors

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

    /**
     * Faults of the key-value service.
     *
     * @param down true if each request fails without effect
     * @param losesReplies true if writes take effect and their responses are lost
     * @param delayMs delay added to each read and write, in milliseconds
     */
    public record Faults(boolean down, boolean losesReplies, long delayMs) {
        /** No faults. */
        public static final Faults NONE = new Faults(false, false, 0);

        /** Each request fails without effect. */
        public static final Faults DOWN = new Faults(true, false, 0);

        /** Writes take effect and their responses are lost. */
        public static final Faults LOSES_REPLIES = new Faults(false, true, 0);
    }
}
