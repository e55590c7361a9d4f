package dev.cactusspan.platform;

import dev.cactusspan.duty.UsagePort;
import dev.cactusspan.http.HttpClient;
import dev.cactusspan.http.HttpRequest;
import dev.cactusspan.http.HttpResponse;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.id.VmId;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Reports usage to the platform over HTTP. */
public final class PlatformUsage implements UsagePort {
    /**
     * Time-out of a report, in milliseconds. The platform may be slow; after a time-out the caller
     * sends the same report again.
     */
    private static final long TIMEOUT_MS = 1_500;

    private static final int MAX_RESPONSE_BYTES = 16 << 10;
    private static final int FENCED = 409;

    private final HttpClient mHttp;
    private final URI mServer;

    /**
     * Creates the port.
     *
     * @param http sends the requests
     * @param server scheme, IP and port of the platform's interface
     */
    public PlatformUsage(HttpClient http, URI server) {
        mHttp = http;
        mServer = server;
    }

    @Override
    public CompletableFuture<Result<Outcome>> report(
            long window, Map<String, Long> counts, VmId holder, FencingNumber fencing) {
        HttpRequest request =
                new HttpRequest(
                        "POST",
                        mServer,
                        "/usage",
                        Map.of(
                                "Content-Type",
                                "application/json",
                                PlatformHeaders.DUTY_HOLDER,
                                holder.value(),
                                PlatformHeaders.FENCING_NUMBER,
                                Long.toString(fencing.number())),
                        JsonText.write(Map.of("window_id", window, "counts", counts)),
                        TIMEOUT_MS,
                        HttpRequest.DEFAULT_MAX_BYTES,
                        false);
        return mHttp.collectWrite(request, MAX_RESPONSE_BYTES)
                .thenApply(r -> r.map(PlatformUsage::outcome));
    }

    private static Outcome outcome(HttpResponse response) {
        if (response.isSuccess()) {
            return Outcome.TAKEN;
        }
        return response.status() == FENCED ? Outcome.FENCED : Outcome.REFUSED;
    }
}
