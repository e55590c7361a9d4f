package dev.cactusspan.platform;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.http.HttpClient;
import dev.cactusspan.http.HttpRequest;
import dev.cactusspan.http.HttpResponse;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.store.Transaction;
import dev.cactusspan.text.JsonText;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Accesses the platform's metadata store over HTTP. */
public final class PlatformStore implements KeyStore {
    /** Ranges and watches return about 1 MB of values, encoded in base64 and JSON. */
    private static final int MAX_RESPONSE_BYTES = 24 << 20;

    /**
     * Time-out of a call, in milliseconds. The store responds within 4 ms, but may take 60 times as
     * long during an outage.
     */
    private static final long TIMEOUT_MS = 900;

    /** Time allowed to a watch beyond its requested wait, in milliseconds. */
    private static final long WATCH_SLACK_MS = 800;

    private static final int NOT_FOUND = 404;
    private static final int CONDITION_FAILED = 412;
    private static final int HISTORY_GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final HttpClient mHttp;
    private final URI mServer;
    private final StoreCalls mCalls;

    /**
     * Creates a client.
     *
     * @param http sends the requests
     * @param server scheme, IP and port of the store
     * @param telemetry counts the calls by purpose
     */
    public PlatformStore(HttpClient http, URI server, Telemetry telemetry) {
        mHttp = http;
        mServer = server;
        mCalls = new StoreCalls(telemetry);
    }

    @Override
    public CompletableFuture<Result<Optional<StoredItem>>> get(String key) {
        return read("get", key, "/-/kv-key?key=" + encode(key), TIMEOUT_MS)
                .thenApply(
                        r ->
                                r.flatMap(
                                        response ->
                                                response.status() == NOT_FOUND
                                                        ? Result.of(Optional.empty())
                                                        : readBody(
                                                                response,
                                                                n -> Optional.of(item(n)))));
    }

    @Override
    public CompletableFuture<Result<Page>> range(String prefix, String after) {
        String path = "/-/kv-range?prefix=" + encode(prefix);
        String page = after.isEmpty() ? path : path + "&after=" + encode(after);
        return read("range", prefix, page, TIMEOUT_MS)
                .thenApply(r -> r.flatMap(a -> readBody(a, PlatformStore::page)));
    }

    @Override
    public CompletableFuture<Result<Changes>> watch(
            String prefix, long afterRevision, long waitMs) {
        String path =
                "/-/kv-watch?prefix="
                        + encode(prefix)
                        + "&after="
                        + afterRevision
                        + "&wait_ms="
                        + waitMs;
        return read("watch", prefix, path, waitMs + WATCH_SLACK_MS)
                .thenApply(
                        r ->
                                r.flatMap(
                                        a ->
                                                a.status() == HISTORY_GONE
                                                        ? Result.fail(
                                                                ErrorKind.CONFLICT,
                                                                "the history is gone")
                                                        : readBody(a, PlatformStore::changes)));
    }

    @Override
    public CompletableFuture<Result<Long>> commit(Transaction transaction) {
        List<Map<String, Object>> expected = new ArrayList<>();
        transaction
                .expected()
                .forEach(e -> expected.add(Map.of("key", e.key(), "revision", e.revision())));
        List<Map<String, Object>> writes = new ArrayList<>();
        transaction.writes().forEach(w -> writes.add(write(w)));
        Map<String, Object> body =
                Map.of("expected", expected, "writes", writes, "deletes", transaction.deletes());
        return update("commit", subject(transaction), "POST", "/-/kv-txn", body)
                .thenApply(r -> r.flatMap(a -> readBody(a, n -> n.path("revision").asLong())));
    }

    private static Map<String, Object> write(Transaction.Write write) {
        String value = Base64.getEncoder().encodeToString(write.value());
        return write.lease() == 0
                ? Map.of("key", write.key(), "value", value)
                : Map.of("key", write.key(), "value", value, "lease", write.lease());
    }

    @Override
    public CompletableFuture<Result<Long>> grantLease(long ttlMs) {
        return update("lease_grant", "", "POST", "/-/kv-lease", Map.of("ttl_ms", ttlMs))
                .thenApply(r -> r.flatMap(a -> readBody(a, n -> n.path("lease").asLong())));
    }

    @Override
    public CompletableFuture<Result<Long>> renewLease(long lease) {
        return update("lease_renew", "", "POST", "/-/kv-keep/" + lease, Map.of())
                .thenApply(r -> r.flatMap(a -> readBody(a, n -> n.path("ttl_ms").asLong())));
    }

    @Override
    public CompletableFuture<Result<Boolean>> endLease(long lease) {
        return update("lease_end", "", "DELETE", "/-/kv-lease-end/" + lease, Map.of())
                .thenApply(r -> r.map(HttpResponse::isSuccess));
    }

    /** Returns the key that names what a transaction is for. */
    private static String subject(Transaction transaction) {
        if (!transaction.writes().isEmpty()) {
            return transaction.writes().get(0).key();
        }
        return transaction.deletes().isEmpty() ? "" : transaction.deletes().get(0);
    }

    private CompletableFuture<Result<HttpResponse>> read(
            String call, String key, String path, long waitMs) {
        mCalls.count(call, key);
        return mHttp.collect(HttpRequest.get(mServer, path, waitMs), MAX_RESPONSE_BYTES);
    }

    private CompletableFuture<Result<HttpResponse>> update(
            String call, String key, String method, String path, Object body) {
        mCalls.count(call, key);
        HttpRequest request =
                HttpRequest.json(method, mServer, path, JsonText.write(body), TIMEOUT_MS);
        return mHttp.collectWrite(request, MAX_RESPONSE_BYTES);
    }

    /** Parses a successful response; any other response becomes the corresponding failure. */
    private static <T> Result<T> readBody(HttpResponse response, Function<JsonNode, T> mapper) {
        if (!response.isSuccess()) {
            return Result.fail(failure(response.status()));
        }
        return JsonText.read(response.body(), JsonNode.class).map(mapper);
    }

    private static Failure failure(int status) {
        String detail = "the store answered " + status;
        return switch (status) {
            case NOT_FOUND -> Failure.of(ErrorKind.NOT_FOUND, detail);
            case CONDITION_FAILED -> Failure.of(ErrorKind.CONFLICT, detail);
            case TOO_MANY_REQUESTS, UNAVAILABLE ->
                    Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, detail);
            default -> Failure.of(ErrorKind.OUTCOME_UNKNOWN, detail);
        };
    }

    private static Page page(JsonNode node) {
        List<StoredItem> items = new ArrayList<>();
        node.path("items").forEach(n -> items.add(item(n)));
        return new Page(items, node.path("has_more").asBoolean(), node.path("as_of").asLong());
    }

    private static Changes changes(JsonNode node) {
        List<Change> changes = new ArrayList<>();
        node.path("events").forEach(n -> changes.add(change(n)));
        return new Changes(changes, node.path("as_of").asLong());
    }

    private static Change change(JsonNode node) {
        Optional<StoredItem> item =
                node.path("deleted").asBoolean() ? Optional.empty() : Optional.of(item(node));
        return new Change(node.path("key").asText(), item, node.path("revision").asLong());
    }

    private static StoredItem item(JsonNode node) {
        return new StoredItem(
                node.path("key").asText(),
                Base64.getDecoder().decode(node.path("value").asText()),
                node.path("revision").asLong(),
                node.path("lease").asLong());
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
