package dev.cactusspan.http;

import java.io.IOException;

/** The bytes that a server sent are no HTTP/1.1 response. */
final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedResponseException(String message) {
        super(message);
    }

    /** Names a part of the response and the code of a byte in it, which itself is not repeated. */
    static MalformedResponseException unexpected(String part, int b) {
        return new MalformedResponseException(String.format("byte 0x%02X in the %s", b, part));
    }
}
