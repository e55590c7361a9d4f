package dev.cactusspan.platform;

import dev.cactusspan.http.HttpClient;
import dev.cactusspan.http.HttpRequest;
import dev.cactusspan.http.HttpResponse;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.result.Result;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Sends usage reports to the platform's usage interface over HTTP. */
public final class UsageClient implements UsageInterface {
    private static final long TIMEOUT_MS = 3_000;
    private static final int MAX_RESPONSE_BYTES = 64 << 10;

    private final HttpClient mHttp;
    private final URI mServer;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param server scheme, IP and port of the platform
     */
    public UsageClient(HttpClient http, URI server) {
        mHttp = http;
        mServer = server;
    }

    @Override
    public CompletableFuture<Result<Boolean>> send(byte[] report, FencingNumber fencing) {
        HttpRequest request =
                new HttpRequest(
                        "POST",
                        mServer,
                        "/usage",
                        Map.of(
                                "Content-Type",
                                "application/json",
                                "Fencing-Number",
                                fencing.toString()),
                        report,
                        TIMEOUT_MS,
                        HttpRequest.DEFAULT_MAX_BYTES,
                        false);
        return mHttp.collect(request, MAX_RESPONSE_BYTES)
                .thenApply(r -> r.map(HttpResponse::isSuccess));
    }
}
