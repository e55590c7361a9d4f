package dev.cactusspan.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;

/** How the end of a response body is known. */
enum ResponseFraming {
    /** By its length, its last chunk, or a status that has no body. */
    EXPLICIT,
    /** By the end of the connection, which does not differ from that of a body cut short. */
    CONNECTION_END,
    /** By several lengths that differ. */
    CONTRADICTORY;

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Determines the framing of a response from its head. */
    static ResponseFraming of(int status, HeaderMap headers) {
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        if (lengths != null && lengths.stream().map(String::strip).distinct().count() > 1) {
            return CONTRADICTORY;
        }
        boolean isExplicit =
                lengths != null
                        || headers.contains(Headers.TRANSFER_ENCODING)
                        || status == NO_CONTENT
                        || status == NOT_MODIFIED;
        return isExplicit ? EXPLICIT : CONNECTION_END;
    }
}
