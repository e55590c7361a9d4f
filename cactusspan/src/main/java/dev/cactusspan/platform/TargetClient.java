package dev.cactusspan.platform;

import dev.cactusspan.http.HttpClient;
import dev.cactusspan.http.HttpRequest;
import dev.cactusspan.http.HttpResponse;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.net.URI;
import java.util.concurrent.CompletableFuture;

/** Sends target orders to the platform over HTTP. */
public final class TargetClient implements TargetInterface {
    private static final long TIMEOUT_MS = 2_000;
    private static final int MAX_RESPONSE_BYTES = 64 << 10;

    private final HttpClient mHttp;
    private final URI mServer;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param server scheme, IP and port of the platform
     */
    public TargetClient(HttpClient http, URI server) {
        mHttp = http;
        mServer = server;
    }

    @Override
    public CompletableFuture<Result<Boolean>> send(TargetOrder order) {
        HttpRequest request =
                HttpRequest.json(
                        "POST", mServer, "/targets/orders", JsonText.write(order), TIMEOUT_MS);
        return mHttp.collect(request, MAX_RESPONSE_BYTES)
                .thenApply(r -> r.map(HttpResponse::isSuccess));
    }
}
