package dev.cactusspan.platform;

import dev.cactusspan.http.HttpClient;
import dev.cactusspan.http.HttpRequest;
import dev.cactusspan.http.HttpResponse;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Accesses the key-value service over HTTP. The header {@code kv-version} has a key's version. */
public final class HttpKeyValueService implements KeyValueService {
    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final long TIMEOUT_MS = 3_000;
    private static final String VERSION_HEADER = "kv-version";

    private final HttpClient mHttp;
    private final URI mServer;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param server scheme, IP and port of the platform
     */
    public HttpKeyValueService(HttpClient http, URI server) {
        mHttp = http;
        mServer = server;
    }

    @Override
    public CompletableFuture<Result<Optional<Entry>>> get(String key) {
        return read(HttpRequest.get(mServer, path(key), TIMEOUT_MS));
    }

    @Override
    public CompletableFuture<Result<Optional<Entry>>> watch(
            String key, long afterVersion, long waitMs) {
        String path = path(key) + "&after=" + afterVersion + "&wait_ms=" + waitMs;
        return read(HttpRequest.get(mServer, path, waitMs + TIMEOUT_MS));
    }

    private CompletableFuture<Result<Optional<Entry>>> read(HttpRequest request) {
        return mHttp.collect(request, MAX_VALUE_BYTES)
                .thenApply(r -> r.flatMap(HttpKeyValueService::readEntry));
    }

    private static Result<Optional<Entry>> readEntry(HttpResponse response) {
        Optional<String> version = response.header(VERSION_HEADER);
        if (response.status() == 404 || response.status() == 304) {
            return Result.of(Optional.empty());
        }
        if (!response.isSuccess() || version.isEmpty()) {
            return unavailable(response);
        }
        return Result.of(Optional.of(new Entry(Long.parseLong(version.get()), response.body())));
    }

    @Override
    public CompletableFuture<Result<Long>> compareAndSwap(
            String key, long expectedVersion, byte[] value) {
        if (value.length > MAX_VALUE_BYTES) {
            return CompletableFuture.completedFuture(
                    Result.fail(ErrorKind.PAYLOAD_TOO_LARGE, key + " is over 1 MB"));
        }
        HttpRequest request =
                new HttpRequest(
                        "PUT",
                        mServer,
                        path(key) + "&expect=" + expectedVersion,
                        Map.of("Content-Type", "application/octet-stream"),
                        value,
                        TIMEOUT_MS,
                        HttpRequest.DEFAULT_MAX_BYTES,
                        false);
        return mHttp.collect(request, MAX_VALUE_BYTES)
                .thenApply(r -> r.flatMap(HttpKeyValueService::readVersion));
    }

    private static Result<Long> readVersion(HttpResponse response) {
        if (response.status() == 409) {
            return Result.fail(ErrorKind.CONFLICT, "the key's version is another");
        }
        Optional<String> version = response.header(VERSION_HEADER);
        if (!response.isSuccess() || version.isEmpty()) {
            return unavailable(response);
        }
        return Result.of(Long.parseLong(version.get()));
    }

    private static <T> Result<T> unavailable(HttpResponse response) {
        return Result.fail(
                ErrorKind.PLATFORM_UNAVAILABLE, "key-value service answered " + response.status());
    }

    private static String path(String key) {
        return "/kv?key=" + URLEncoder.encode(key, StandardCharsets.UTF_8);
    }
}
