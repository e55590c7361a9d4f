package dev.cactusspan.http;

import java.util.Locale;
import java.util.Map;

/**
 * Tells the response to one request from the responses to others. Load pattern: a faulty server
 * sends a response twice, and the second copy arrives where the response to the next request on its
 * connection is expected.
 *
 * @param header header in which the server repeats the id of a request, empty if it repeats none
 * @param id id of the request, the same for all its sends; empty for a call that bears none
 */
public record ResponseTag(String header, String id) {
    /** Tag of requests to a server that repeats no ids. */
    public static final ResponseTag NONE = new ResponseTag("", "");

    /**
     * Returns whether a response belongs to the request: it bears the id of the request, or none if
     * the request has none.
     *
     * @param lowerCase response headers with names in lower case
     * @return false if the response belongs to another request
     */
    public boolean isOwn(Map<String, String> lowerCase) {
        return header.isEmpty()
                || lowerCase.getOrDefault(header.toLowerCase(Locale.ROOT), "").equals(id);
    }

    /** Returns whether the responses to the request bear an id. */
    boolean hasId() {
        return !id.isEmpty();
    }

    /** Returns whether the server repeats ids, but the request has none. */
    boolean isWithoutId() {
        return !header.isEmpty() && id.isEmpty();
    }
}
