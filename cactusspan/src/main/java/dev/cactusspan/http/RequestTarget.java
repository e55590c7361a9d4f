package dev.cactusspan.http;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;

/**
 * The path and query of a request, as they are sent to a server. A value holds only the characters
 * that the grammar allows there (RFC 9112, origin-form), so that none can end the request line and
 * begin another request.
 */
public final class RequestTarget {
    private static final String ALLOWED_MARKS = "-._~!$&'()*+,;=:@/?%";

    private final String mValue;

    private RequestTarget(String value) {
        mValue = value;
    }

    /**
     * Parses a request target.
     *
     * @param field name of the field that holds it, for the failure
     * @param value path and query
     * @return the target, or {@code bad_request} with the field and the first wrong character
     */
    public static Result<RequestTarget> parse(String field, String value) {
        if (!value.startsWith("/")) {
            return Result.fail(ErrorKind.BAD_REQUEST, field + ": does not begin with a slash");
        }
        for (int i = 0; i < value.length(); i++) {
            if (!isAllowed(value, i)) {
                return HttpField.wrongCharacter(field, value, i);
            }
        }
        return Result.of(new RequestTarget(value));
    }

    private static boolean isAllowed(String value, int i) {
        char c = value.charAt(i);
        if (c == '%') {
            return isHex(value, i + 1) && isHex(value, i + 2);
        }
        return HttpField.isLetterOrDigit(c) || ALLOWED_MARKS.indexOf(c) >= 0;
    }

    private static boolean isHex(String value, int i) {
        return i < value.length()
                && Character.digit(value.charAt(i), 16) >= 0
                && value.charAt(i) < 128;
    }

    /**
     * Returns the path and query, unchanged.
     *
     * @return the value
     */
    public String value() {
        return mValue;
    }
}
