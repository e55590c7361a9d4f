package dev.cactusspan.platform;

import dev.cactusspan.http.HttpClient;
import dev.cactusspan.http.HttpRequest;
import dev.cactusspan.http.HttpResponse;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.membership.VmRecord;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

/** Reads the platform's VM list, which lags behind the actual state. */
public final class VmListClient {
    private static final long TIMEOUT_MS = 3_000;
    private static final int MAX_LIST_BYTES = 4 << 20;

    private static final int NOT_MODIFIED = 304;

    private final AtomicReference<String> mEntityTag = new AtomicReference<>("");
    private final HttpClient mHttp;
    private final URI mServer;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param server scheme, IP and port of the platform
     */
    public VmListClient(HttpClient http, URI server) {
        mHttp = http;
        mServer = server;
    }

    /**
     * Reads the list if it has changed since the last call. The platform sends an entity tag with
     * each list, so that an unchanged list is not transferred again.
     *
     * @param environment the environment
     * @return its VMs, empty if they are unchanged, or {@code platform_unavailable}
     */
    public CompletableFuture<Result<Optional<List<VmRecord>>>> list(EnvironmentId environment) {
        String entityTag = mEntityTag.get();
        Map<String, String> headers =
                entityTag.isEmpty() ? Map.of() : Map.of("If-None-Match", entityTag);
        HttpRequest request =
                new HttpRequest(
                        "GET",
                        mServer,
                        "/vms?environment=" + environment,
                        headers,
                        new byte[0],
                        TIMEOUT_MS,
                        HttpRequest.DEFAULT_MAX_BYTES,
                        false);
        return mHttp.collect(request, MAX_LIST_BYTES).thenApply(r -> r.flatMap(this::read));
    }

    private Result<Optional<List<VmRecord>>> read(HttpResponse response) {
        if (response.status() == NOT_MODIFIED) {
            return Result.of(Optional.empty());
        }
        if (!response.isSuccess()) {
            return Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, "VM list: " + response.status());
        }
        return JsonText.read(response.body(), VmRecord[].class)
                .map(
                        vms -> {
                            mEntityTag.set(response.header("etag").orElse(""));
                            return Optional.of(List.of(vms));
                        });
    }
}
