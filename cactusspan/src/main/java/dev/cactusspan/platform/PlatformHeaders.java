package dev.cactusspan.platform;

import com.google.common.primitives.Doubles;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/** Names of the platform's HTTP headers. */
final class PlatformHeaders {
    static final String REQUEST_ID = "Attempt-Id";

    /** Remaining time in milliseconds, not a point in time. */
    static final String TIME_LEFT = "Deadline-Ms";

    static final String EXPECTED_TARGET = "Expect-Instance";
    static final String ACCOUNT = "Tenant";
    static final String API_KEY = "X-Api-Key";
    static final String LAST_EVENT_ID = "Last-Event-Id";

    /** Id of the client's request that brought the first event of the stream that it resumes. */
    static final String RESUMES = "Resumes";

    /** The target's digest of its response. */
    static final String RESPONSE_DIGEST = "Server-Stamp";

    /**
     * Requests per second that the target accepts from all processes together, a decimal number.
     */
    static final String REQUEST_LIMIT = "Server-Limit";

    /** Set to 1 in all responses of a target that leaves. */
    static final String LEAVING = "Server-Leaving";

    /** Milliseconds for which the target is still cold. */
    static final String COLD_MS = "Cold-Ms";

    static final String NOT_EXECUTED = "Not-Executed";

    /** A single version, which produced the start of the response. */
    static final String WEIGHT_VERSION = "Weight-Versions";

    /** Prompt tokens and maximum output tokens, separated by a comma. */
    static final String TOKEN_USAGE = "Token-Usage";

    static final String LENGTH_ESTIMATE = "Length-Hint";

    /** From 0 to 9, where 0 is the most urgent; targets assume 5 if there is none. */
    static final String URGENCY = "Request-Priority";

    static final String DUTY_HOLDER = "Duty-Holder";
    static final String FENCING_NUMBER = "Fencing-Token";
    static final String WAIT_MS = "Wait-Ms";

    /** Hop-by-hop headers, and headers that only the system may set; in lower case. */
    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "host",
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "transfer-encoding",
                    "te",
                    "trailer",
                    "upgrade",
                    "expect",
                    "content-length",
                    "tenant",
                    "x-api-key",
                    "expect-instance",
                    "expect-version",
                    "deadline-ms",
                    "request-priority",
                    "kv-hold",
                    "kv-from",
                    "kv-fetch",
                    "kv-backup",
                    "pin-ms");

    private PlatformHeaders() {}

    static String get(Map<String, String> lowerCase, String name) {
        return lowerCase.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /**
     * Reads the request limit of a response.
     *
     * @param lowerCase response headers with names in lower case
     * @return requests per second; empty if there is none, or one that is not a number of at least
     *     zero
     */
    static OptionalDouble requestLimit(Map<String, String> lowerCase) {
        Double limitPerS = Doubles.tryParse(get(lowerCase, REQUEST_LIMIT).strip());
        boolean isValid = limitPerS != null && limitPerS >= 0 && Double.isFinite(limitPerS);
        return isValid ? OptionalDouble.of(limitPerS) : OptionalDouble.empty();
    }

    /**
     * Reads how long a target is still cold.
     *
     * @param lowerCase response headers with names in lower case
     * @return milliseconds; empty if there is no such header, or one that is not a number of at
     *     least zero
     */
    static OptionalLong coldMs(Map<String, String> lowerCase) {
        Double ms = Doubles.tryParse(get(lowerCase, COLD_MS).strip());
        boolean isValid = ms != null && ms >= 0 && Double.isFinite(ms);
        return isValid ? OptionalLong.of((long) Math.ceil(ms)) : OptionalLong.empty();
    }

    static Map<String, String> forwarded(Map<String, String> headers) {
        Map<String, String> forwarded = new LinkedHashMap<>();
        headers.forEach(
                (name, value) -> {
                    if (!NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT))) {
                        forwarded.put(name, value);
                    }
                });
        return forwarded;
    }
}
