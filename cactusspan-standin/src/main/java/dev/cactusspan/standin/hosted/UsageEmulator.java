package dev.cactusspan.standin.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.standin.StandInServer;
import dev.cactusspan.text.JsonText;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/** Emulates the platform's usage interface, which checks fencing numbers. */
public final class UsageEmulator implements AutoCloseable {
    private final ObservationLog mObservations;
    private final AtomicLong mFencingNumber = new AtomicLong();
    private final Undertow mServer;

    private UsageEmulator(ObservationLog observations) {
        mObservations = observations;
        mServer =
                StandInServer.start(
                        "127.0.0.1", 0, e -> e.getRequestReceiver().receiveFullBytes(this::report));
    }

    /**
     * Starts the interface on a free port of loopback.
     *
     * @param observations log of what the platform observes
     * @return the running interface
     */
    public static UsageEmulator start(ObservationLog observations) {
        return new UsageEmulator(observations);
    }

    private void report(HttpServerExchange exchange, byte[] body) {
        long fence = Long.parseLong(StandInServer.header(exchange, "Fencing-Token"));
        if (fence < mFencingNumber.get()) {
            exchange.setStatusCode(409);
            exchange.endExchange();
            return;
        }
        mFencingNumber.set(fence);
        JsonNode node = JsonText.read(body, JsonNode.class).get();
        Map<String, Long> counts = new TreeMap<>();
        node.path("counts")
                .fields()
                .forEachRemaining(e -> counts.put(e.getKey(), e.getValue().asLong()));
        mObservations.recordUsage(node.path("window_id").asLong(), counts);
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
