package dev.cactusspan.http;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.util.Map;

/**
 * The name and value of a header. They hold only the characters that the grammar allows there (RFC
 * 9110, section 5), so that none can end the header and begin another one, or another request. A
 * method and a host are checked here as well.
 */
public final class HttpField {
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";
    private static final String HOST_MARKS = "-._~!$&'()*+,;=:[]%";
    private static final char MAX_BYTE = 0xFF;
    private static final char DELETE = 0x7F;

    private final String mName;
    private final String mValue;

    private HttpField(String name, String value) {
        mName = name;
        mValue = value;
    }

    /**
     * Parses a header.
     *
     * @param field name of the field that holds it, for the failure
     * @param name name of the header
     * @param value value of the header
     * @return the header, or {@code bad_request} with the field and the first wrong character
     */
    public static Result<HttpField> parse(String field, String name, String value) {
        Result<String> token = token(field + " (name)", name);
        if (!token.isOk()) {
            return token.map(t -> new HttpField(t, ""));
        }
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            boolean isText = c >= ' ' && c <= MAX_BYTE && c != DELETE;
            if (!isText && c != '\t') {
                return wrongCharacter(field + "." + name, value, i);
            }
        }
        return Result.of(new HttpField(name, value));
    }

    /**
     * Checks all headers of a request.
     *
     * @param field name of the field that holds them, for the failure
     * @param headers the headers by name
     * @return the headers unchanged, or {@code bad_request} with the first wrong one
     */
    public static Result<Map<String, String>> check(String field, Map<String, String> headers) {
        for (Map.Entry<String, String> header : headers.entrySet()) {
            Result<HttpField> parsed = parse(field, header.getKey(), header.getValue());
            if (!parsed.isOk()) {
                return parsed.map(f -> headers);
            }
        }
        return Result.of(headers);
    }

    /**
     * Checks a token, such as a method.
     *
     * @param field name of the field that holds it, for the failure
     * @param value the token
     * @return the token unchanged, or {@code bad_request} with the field
     */
    public static Result<String> token(String field, String value) {
        return check(field, value, TOKEN_MARKS);
    }

    /**
     * Checks a host, with or without a port.
     *
     * @param field name of the field that holds it, for the failure
     * @param value the host
     * @return the host unchanged, or {@code bad_request} with the field
     */
    public static Result<String> host(String field, String value) {
        return check(field, value, HOST_MARKS);
    }

    private static Result<String> check(String field, String value, String marks) {
        if (value.isEmpty()) {
            return Result.fail(ErrorKind.BAD_REQUEST, field + ": empty");
        }
        for (int i = 0; i < value.length(); i++) {
            if (!isLetterOrDigit(value.charAt(i)) && marks.indexOf(value.charAt(i)) < 0) {
                return wrongCharacter(field, value, i);
            }
        }
        return Result.of(value);
    }

    /** Returns whether a character may stand in a token, such as the name of a header. */
    static boolean isTokenCharacter(char c) {
        return isLetterOrDigit(c) || TOKEN_MARKS.indexOf(c) >= 0;
    }

    static boolean isLetterOrDigit(char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    }

    /** Names the field, the position and the code of a character, which itself is not repeated. */
    static <T> Result<T> wrongCharacter(String field, String value, int at) {
        return Result.fail(
                ErrorKind.BAD_REQUEST,
                String.format("%s: character 0x%02X at %d", field, (int) value.charAt(at), at));
    }

    // Accessors

    /**
     * Returns the name.
     *
     * @return the name
     */
    public String name() {
        return mName;
    }

    /**
     * Returns the value.
     *
     * @return the value
     */
    public String value() {
        return mValue;
    }
}
