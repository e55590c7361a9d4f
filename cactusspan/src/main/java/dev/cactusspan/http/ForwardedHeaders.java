package dev.cactusspan.http;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The request headers that are forwarded from a caller to a target. All others are dropped,
 * including those that hold keys.
 */
public final class ForwardedHeaders {
    private static final Set<String> ALLOWED =
            Set.of(
                    "accept",
                    "accept-language",
                    "content-type",
                    "idempotency-key",
                    "traceparent",
                    "x-request-id");

    private ForwardedHeaders() {}

    /**
     * Returns the headers that may be forwarded.
     *
     * @param headers headers by name in any case
     * @return the allowed headers, with names in lower case
     */
    public static Map<String, String> filter(Map<String, String> headers) {
        Map<String, String> kept = new LinkedHashMap<>();
        headers.forEach(
                (name, value) -> {
                    String lower = name.toLowerCase(Locale.ROOT);
                    if (ALLOWED.contains(lower)) {
                        kept.put(lower, value);
                    }
                });
        return kept;
    }

    /**
     * Returns whether a header may be forwarded.
     *
     * @param name name in lower case
     * @return true if it may be forwarded
     */
    public static boolean isAllowed(String name) {
        return ALLOWED.contains(name);
    }
}
