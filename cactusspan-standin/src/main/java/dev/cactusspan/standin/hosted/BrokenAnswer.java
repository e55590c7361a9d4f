package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Whole answers with one fault in their head or body. Without it, each would be a success with the
 * digest that the client expects, and with a text that no sound target sends.
 */
public enum BrokenAnswer implements RawTarget.Answer {
    /** A status of zero. */
    STATUS_000("HTTP/1.1 000 OK", ""),
    /** A status below the first class. */
    STATUS_099("HTTP/1.1 099 OK", ""),
    /** A status above the last class. */
    STATUS_600("HTTP/1.1 600 OK", ""),
    /** A status of two digits. */
    STATUS_20("HTTP/1.1 20 OK", ""),
    /** A status that is taken apart by a blank. */
    STATUS_WITH_BLANK("HTTP/1.1 2 00 OK", ""),
    /** A version that does not exist. */
    VERSION("HTTP/9.9 200 OK", ""),
    /** A blank in the name of a field. */
    BLANK_IN_NAME(Line.OK, "Bad Name: x"),
    /** A blank at the start of a name. */
    BLANK_BEFORE_NAME(Line.OK, " Name: x"),
    /** A blank between a name and its colon. */
    BLANK_AFTER_NAME(Line.OK, "Name : x"),
    /** A control byte in the name of a field. */
    CONTROL_BYTE_IN_NAME(Line.OK, "Bad\u0001Name: x"),
    /** A zero byte at the end of a name. */
    ZERO_BYTE_AFTER_NAME(Line.OK, "Name\0: x"),
    /** A blank in the name of the length, beside the length. */
    BLANK_IN_LENGTH(Line.OK, "Content- Length: 1"),
    /** A line without a colon. */
    NO_COLON(Line.OK, "Name"),
    /** A CR in a value, which ends no line. */
    BARE_RETURN(Line.OK, "Name: x\rContent-Length: 1"),
    /** A length with a sign. */
    SIGNED_LENGTH(Line.OK, "Content-Length: +5"),
    /** A length beside another one. */
    TWO_LENGTHS(Line.OK, "Content-Length: 5"),
    /** A coding that the client does not expect. */
    CODINGS(Line.OK, "Transfer-Encoding: gzip, chunked");

    private static final String BODY = "id: 1\ndata: broken\n\n";

    /** Status lines. */
    private static final class Line {
        static final String OK = "HTTP/1.1 200 OK";
    }

    private final String mStatusLine;
    private final String mField;

    BrokenAnswer(String statusLine, String field) {
        mStatusLine = statusLine;
        mField = field.isEmpty() ? "" : field + "\r\n";
    }

    @Override
    public void write(String id, OutputStream out) throws IOException {
        String head =
                String.join(
                        "\r\n",
                        mStatusLine,
                        mField + "Attempt-Id: " + id,
                        "Server-Stamp: " + TargetEmulator.responseDigest(id),
                        "Weight-Versions: 9",
                        "Content-Type: text/event-stream",
                        "Content-Length: " + BODY.length(),
                        "",
                        "");
        out.write((head + BODY).getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public boolean endsConnection() {
        return false;
    }
}
