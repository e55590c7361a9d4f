package dev.cactusspan.standin.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.standin.StandInServer;
import dev.cactusspan.text.JsonText;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/** The platform's interface for usage reports, which checks fencing numbers. */
public final class UsageEmulator implements AutoCloseable {
    private final ObservationLog mLedger;
    private final AtomicLong mFence = new AtomicLong();
    private final Undertow mServer;

    private UsageEmulator(ObservationLog ledger) {
        mLedger = ledger;
        mServer =
                StandInServer.start(
                        "127.0.0.1", 0, e -> e.getRequestReceiver().receiveFullBytes(this::report));
    }

    /**
     * Starts the interface on a free port of loopback.
     *
     * @param ledger what the platform saw
     * @return the running interface
     */
    public static UsageEmulator start(ObservationLog ledger) {
        return new UsageEmulator(ledger);
    }

    private void report(HttpServerExchange exchange, byte[] body) {
        long fence = Long.parseLong(StandInServer.header(exchange, "Fencing-Token"));
        if (fence < mFence.get()) {
            exchange.setStatusCode(409);
            exchange.endExchange();
            return;
        }
        mFence.set(fence);
        JsonNode node = JsonText.read(body, JsonNode.class).get();
        Map<String, Long> counts = new TreeMap<>();
        node.path("counts")
                .fields()
                .forEachRemaining(e -> counts.put(e.getKey(), e.getValue().asLong()));
        mLedger.recordUsage(node.path("window_id").asLong(), counts);
        exchange.endExchange();
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
        mServer.stop();
    }
}
