package dev.cactusspan.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

/**
 * A whole answer.
 *
 * @param status HTTP status
 * @param headers headers, with names in lower case
 * @param body the body
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body) {
    private static final int SUCCESS_FROM = 200;
    private static final int SUCCESS_TO = 299;

    /**
     * Tells whether the status is a success.
     *
     * @return true for 2xx
     */
    public boolean isSuccess() {
        return status >= SUCCESS_FROM && status <= SUCCESS_TO;
    }

    /**
     * Returns a header.
     *
     * @param name name in lower case
     * @return its first value, if present
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Returns the body as text.
     *
     * @return the body decoded from UTF-8
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
