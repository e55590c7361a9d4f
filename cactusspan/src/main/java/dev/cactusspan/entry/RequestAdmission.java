package dev.cactusspan.entry;

import com.google.common.primitives.Bytes;
import dev.cactusspan.config.Configuration;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.PathTemplateMatch;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Admits HTTP requests: checks the configuration's freshness and reads key and bounded body. */
final class RequestAdmission {
    private static final String BEARER = "Bearer ";

    private final Supplier<Optional<Configuration>> mConfiguration;
    private final BooleanSupplier mIsFresh;

    RequestAdmission(Supplier<Optional<Configuration>> configuration, BooleanSupplier isFresh) {
        mConfiguration = configuration;
        mIsFresh = isFresh;
    }

    /** Returns the configuration, or a failure if this entry must not serve requests. */
    Result<Configuration> configuration() {
        Optional<Configuration> configuration = mConfiguration.get();
        if (configuration.isEmpty()) {
            return Result.fail(ErrorKind.CONFIGURATION_STALE, "no document is known yet");
        }
        if (!mIsFresh.getAsBoolean()) {
            return Result.fail(
                    ErrorKind.CONFIGURATION_STALE,
                    "the document may be out of date: the platform does not answer");
        }
        return Result.of(configuration.get());
    }

    void respondFailure(HttpServerExchange exchange, Result<?> failed) {
        failed.fold(
                failure -> {
                    HttpResponses.respondFailure(exchange, failure);
                    return null;
                },
                value -> null);
    }

    /** Reads the body, up to the size limit in the environment document. */
    void readBody(
            HttpServerExchange exchange, Configuration configuration, Consumer<byte[]> onBody) {
        int maxBytes = configuration.document().bounds().bodyBytes();
        if (exchange.getRequestContentLength() > maxBytes) {
            HttpResponses.respondFailure(exchange, tooLarge(maxBytes));
            return;
        }
        exchange.setMaxEntitySize(maxBytes);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> {
                            e.dispatch();
                            onBody.accept(body);
                        },
                        (e, error) -> {
                            boolean isTooLarge = error instanceof RequestTooBigException;
                            HttpResponses.respondFailure(
                                    e,
                                    isTooLarge
                                            ? tooLarge(maxBytes)
                                            : Failure.of(
                                                    ErrorKind.BAD_REQUEST, "the body was cut"));
                        });
    }

    private static Failure tooLarge(int maxBytes) {
        return Failure.of(
                ErrorKind.PAYLOAD_TOO_LARGE, "body: expected at most " + maxBytes + " bytes");
    }

    /** Returns the bearer key of a request, empty if it has none. */
    static String bearerKey(HttpServerExchange exchange) {
        String value = header(exchange, Headers.AUTHORIZATION);
        return value.regionMatches(true, 0, BEARER, 0, BEARER.length())
                ? value.substring(BEARER.length()).strip()
                : "";
    }

    static String header(HttpServerExchange exchange, HttpString name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    static String pathParameter(HttpServerExchange exchange, String name) {
        PathTemplateMatch match = exchange.getAttachment(PathTemplateMatch.ATTACHMENT_KEY);
        return match == null ? "" : match.getParameters().getOrDefault(name, "");
    }

    static long numberParameter(HttpServerExchange exchange, String name, long defaultValue) {
        var values = exchange.getQueryParameters().get(name);
        if (values == null || values.isEmpty()) {
            return defaultValue;
        }
        try {
            return Long.parseLong(values.getFirst());
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    /** Returns whether a key occurs in a part of the request that would be sent to a target. */
    static boolean containsKey(String key, String path, Map<String, String> headers, byte[] body) {
        if (key.isEmpty()) {
            return false;
        }
        boolean isInBody = Bytes.indexOf(body, key.getBytes(StandardCharsets.UTF_8)) >= 0;
        boolean isInHeader = headers.values().stream().anyMatch(v -> v.contains(key));
        return isInBody || isInHeader || path.contains(key);
    }
}
