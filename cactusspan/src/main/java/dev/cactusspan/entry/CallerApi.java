package dev.cactusspan.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import dev.cactusspan.config.Configuration;
import dev.cactusspan.config.EnvironmentDocument;
import dev.cactusspan.config.KeyHash;
import dev.cactusspan.http.ForwardedHeaders;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.link.TaskThread;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;

/** Handles callers' requests for model completions and for paths of plain services. */
final class CallerApi {
    private static final int PREFIX_CHARS = 256;
    private static final int MAX_IDEMPOTENCY_KEY_CHARS = 256;
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
    private static final AccountId OPEN_ACCOUNT = AccountId.of("open");

    private final RequestAdmission mAdmission;
    private final TaskThread mThread;
    private final RequestDispatcher mDispatcher;

    CallerApi(RequestAdmission admission, TaskThread thread, RequestDispatcher dispatcher) {
        mAdmission = admission;
        mThread = thread;
        mDispatcher = dispatcher;
    }

    // Handlers

    /** Completes a prompt or a chat; the engine is called on the caller's path. */
    void completions(HttpServerExchange exchange) {
        Result<Configuration> configuration = mAdmission.configuration();
        if (!configuration.isOk()) {
            mAdmission.respondFailure(exchange, configuration);
            return;
        }
        String key = RequestAdmission.bearerKey(exchange);
        Result<AccountId> account = configuration.get().authenticate(key);
        if (!account.isOk()) {
            mAdmission.respondFailure(exchange, account);
            return;
        }
        mAdmission.readBody(
                exchange,
                configuration.get(),
                body -> {
                    Caller caller = new Caller(exchange, configuration.get(), key);
                    completionSpec(caller, account.get(), body)
                            .fold(f -> respondFailure(exchange, f), s -> submit(caller, s));
                });
    }

    private static Void respondFailure(HttpServerExchange exchange, Failure failure) {
        HttpResponses.respondFailure(exchange, failure);
        return null;
    }

    private Result<RequestSpec> completionSpec(Caller caller, AccountId account, byte[] body) {
        Result<JsonNode> tree = JsonText.parse("$", new String(body, StandardCharsets.UTF_8));
        if (!tree.isOk()) {
            return tree.map(t -> null);
        }
        String model = tree.get().path("model").asText("");
        if (model.isEmpty()) {
            return Result.fail(ErrorKind.BAD_REQUEST, "$.model: expected the name of a model");
        }
        Optional<EnvironmentDocument.Route> route =
                caller.configuration().completionsRoute(ServiceId.of(model));
        if (route.isEmpty()) {
            return Result.fail(ErrorKind.NOT_FOUND, "no route for model " + model);
        }
        if (!route.get().isAllowed(account)) {
            return Result.fail(
                    ErrorKind.FORBIDDEN, account + " may not use route " + route.get().name());
        }
        String path = caller.exchange().getRequestPath();
        return buildSpec(caller, account, route.get(), path, body, affinity(tree.get()));
    }

    /** Hashes the prefix of the prompt, because engines cache by prefix. */
    private static long affinity(JsonNode tree) {
        String prompt =
                tree.has("messages")
                        ? tree.get("messages").toString()
                        : tree.path("prompt").asText("");
        String prefix = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
        return prefix.isEmpty()
                ? 0
                : Hashing.murmur3_128().hashString(prefix, StandardCharsets.UTF_8).asLong();
    }

    /** Forwards a request to a path of a plain service. */
    void service(HttpServerExchange exchange) {
        Result<Configuration> configuration = mAdmission.configuration();
        if (!configuration.isOk()) {
            mAdmission.respondFailure(exchange, configuration);
            return;
        }
        String service = RequestAdmission.pathParameter(exchange, "service");
        String path = "/" + RequestAdmission.pathParameter(exchange, "*");
        Optional<EnvironmentDocument.Route> route =
                configuration
                        .get()
                        .serviceRoute(
                                ServiceId.of(service),
                                exchange.getRequestMethod().toString(),
                                path);
        if (route.isEmpty()) {
            HttpResponses.respondFailure(
                    exchange, Failure.of(ErrorKind.NOT_FOUND, "no route for " + service + path));
            return;
        }
        String key = RequestAdmission.bearerKey(exchange);
        Result<AccountId> account = authorize(configuration.get(), route.get(), key);
        if (!account.isOk()) {
            mAdmission.respondFailure(exchange, account);
            return;
        }
        String query = exchange.getQueryString();
        String pathAndQuery = query.isEmpty() ? path : path + "?" + query;
        Caller caller = new Caller(exchange, configuration.get(), route.get().open() ? "" : key);
        mAdmission.readBody(
                exchange,
                configuration.get(),
                body ->
                        buildSpec(caller, account.get(), route.get(), pathAndQuery, body, 0)
                                .fold(f -> respondFailure(exchange, f), s -> submit(caller, s)));
    }

    private static Result<AccountId> authorize(
            Configuration configuration, EnvironmentDocument.Route route, String key) {
        if (route.open()) {
            return Result.of(OPEN_ACCOUNT);
        }
        return configuration
                .authenticate(key)
                .flatMap(
                        account ->
                                route.isAllowed(account)
                                        ? Result.of(account)
                                        : Result.fail(
                                                ErrorKind.FORBIDDEN,
                                                account + " may not use route " + route.name()));
    }

    private Result<RequestSpec> buildSpec(
            Caller caller,
            AccountId account,
            EnvironmentDocument.Route route,
            String path,
            byte[] body,
            long affinity) {
        HttpServerExchange exchange = caller.exchange();
        String idempotencyKey = RequestAdmission.header(exchange, IDEMPOTENCY_KEY);
        if (idempotencyKey.length() > MAX_IDEMPOTENCY_KEY_CHARS) {
            return Result.fail(
                    ErrorKind.BAD_REQUEST,
                    "Idempotency-Key: expected at most " + MAX_IDEMPOTENCY_KEY_CHARS + " chars");
        }
        Map<String, String> headers = ForwardedHeaders.filter(headers(exchange));
        if (RequestAdmission.containsKey(
                RequestAdmission.bearerKey(exchange), path, headers, body)) {
            return Result.fail(ErrorKind.BAD_REQUEST, "the key may stand in Authorization only");
        }
        EnvironmentDocument.Bounds bounds = caller.configuration().document().bounds();
        long deadlineMs = route.deadlineMs() > 0 ? route.deadlineMs() : bounds.requestDeadlineMs();
        Optional<KeyHash> keyHash =
                caller.key().isEmpty()
                        ? Optional.empty()
                        : Optional.of(KeyHash.ofKey(caller.key()));
        return Result.of(
                new RequestSpec(
                        requestId(exchange),
                        account,
                        keyHash,
                        route,
                        route.requestClass(),
                        exchange.getRequestMethod().toString(),
                        path,
                        headers,
                        body,
                        affinity,
                        deadlineMs,
                        false,
                        WeightVersion.NONE,
                        idempotencyKey));
    }

    private static Map<String, String> headers(HttpServerExchange exchange) {
        Map<String, String> headers = new HashMap<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            headers.put(values.getHeaderName().toString(), values.getFirst());
        }
        return headers;
    }

    private static RequestId requestId(HttpServerExchange exchange) {
        RequestId id = RequestId.of(UUID.randomUUID().toString());
        exchange.getResponseHeaders().put(REQUEST_ID, id.value());
        return id;
    }

    private Void submit(Caller caller, RequestSpec spec) {
        AtomicReference<PendingRequest> request = new AtomicReference<>();
        Runnable onDisconnect =
                () ->
                        mThread.execute(
                                () ->
                                        Optional.ofNullable(request.get())
                                                .ifPresent(mDispatcher::onCallerDisconnected));
        int maxBytes = caller.configuration().document().bounds().answerBytes();
        CallerExchange sink = new CallerExchange(caller.exchange(), maxBytes, onDisconnect);
        boolean isAccepted =
                mThread.tryExecute(() -> mDispatcher.admit(spec, sink).ifPresent(request::set));
        if (!isAccepted) {
            HttpResponses.respondFailure(
                    caller.exchange(), Failure.of(ErrorKind.OVERLOADED, "the entry is overloaded"));
        }
        return null;
    }

    private record Caller(HttpServerExchange exchange, Configuration configuration, String key) {}
}
