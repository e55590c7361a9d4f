package dev.cactusspan.http;

import java.util.OptionalLong;

/** What the fields of a head say about the end of the body (RFC 9112, section 6). */
final class BodyFields {
    /** Maximum size of the name or the value of such a field; lengths and codings are short. */
    static final int MAX_CHARS = 64;

    /** Number of digits that fit into a long. */
    private static final String LENGTH = "[0-9]{1,18}";

    private OptionalLong mLength = OptionalLong.empty();
    private boolean mIsChunked;

    // Operations

    /**
     * Adds a field; most say nothing of the body.
     *
     * @throws MalformedResponseException if it contradicts itself or an earlier one
     */
    void add(String name, String value) throws MalformedResponseException {
        if (name.equalsIgnoreCase("content-length")) {
            addLength(checkedValue(name, value));
        } else if (name.equalsIgnoreCase("transfer-encoding")) {
            addCoding(checkedValue(name, value));
        }
    }

    private static String checkedValue(String name, String value)
            throws MalformedResponseException {
        if (value.length() > MAX_CHARS) {
            throw new MalformedResponseException(name + " has over " + MAX_CHARS + " characters");
        }
        return value.strip();
    }

    private void addLength(String value) throws MalformedResponseException {
        if (!value.matches(LENGTH)) {
            throw new MalformedResponseException("the length of the body is no number of bytes");
        }
        long length = Long.parseLong(value);
        if (mLength.orElse(length) != length) {
            throw new MalformedResponseException("the lengths of the body differ");
        }
        mLength = OptionalLong.of(length);
    }

    private void addCoding(String value) throws MalformedResponseException {
        if (mIsChunked || !value.equalsIgnoreCase("chunked")) {
            throw new MalformedResponseException("the body has other codings than one of chunks");
        }
        mIsChunked = true;
    }

    /**
     * Checks the fields together.
     *
     * @param isOldVersion true for HTTP/1.0, which has no codings
     * @throws MalformedResponseException if they leave open where the body ends
     */
    void end(boolean isOldVersion) throws MalformedResponseException {
        if (mIsChunked && (mLength.isPresent() || isOldVersion)) {
            throw new MalformedResponseException(
                    "the body has chunks beside a length, or HTTP/1.0");
        }
    }

    // Accessors

    /** Returns the length of the body in bytes, empty if no field has it. */
    OptionalLong length() {
        return mLength;
    }

    boolean isChunked() {
        return mIsChunked;
    }
}
