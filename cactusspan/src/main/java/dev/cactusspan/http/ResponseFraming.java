package dev.cactusspan.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.Locale;

/** How the end of a response body is known. */
enum ResponseFraming {
    /** By its length, its last chunk, or a status that has no body. */
    EXPLICIT,
    /** By the end of the connection, if that is in order; after a reset the body is incomplete. */
    CONNECTION_END,
    /**
     * By the end of the connection, of a stream of events: one whose server was stopped between two
     * events ends in the same way.
     */
    UNPROVEN;

    private static final String EVENT_STREAM = "text/event-stream";
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Determines the framing of a response from its head. */
    static ResponseFraming of(int status, HeaderMap headers) {
        boolean isExplicit =
                headers.contains(Headers.CONTENT_LENGTH)
                        || headers.contains(Headers.TRANSFER_ENCODING)
                        || status == NO_CONTENT
                        || status == NOT_MODIFIED;
        if (isExplicit) {
            return EXPLICIT;
        }
        String type =
                headers.contains(Headers.CONTENT_TYPE)
                        ? headers.getFirst(Headers.CONTENT_TYPE)
                        : "";
        return type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM) ? UNPROVEN : CONNECTION_END;
    }
}
