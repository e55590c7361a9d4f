package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Bytes without end, by where in the response they are. */
public enum EndlessAnswer implements RawTarget.Answer {
    /** The status line. */
    STATUS_LINE("HTTP/1.1 200 ", "O"),
    /** One header line. */
    HEADER_LINE("HTTP/1.1 200 OK\r\nName: ", "v"),
    /** Headers without number. */
    HEADERS("HTTP/1.1 200 OK\r\n", "Name: value\r\n"),
    /** Interim responses without number. */
    INTERIM("", "HTTP/1.1 100 Continue\r\n\r\n"),
    /** An extension of a chunk. */
    CHUNK_EXTENSION(Head.CHUNKED + "1;x=", "y"),
    /** Trailers without number. */
    TRAILERS(Head.CHUNKED + "0\r\n", "Name: value\r\n"),
    /** A body that ends with the connection. */
    BODY("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\n", "body"),
    /** One event of a stream. */
    EVENT(Head.EVENTS + "id: 1\ndata: ", "text"),
    /** Events without number that have no id. */
    EVENT_LIST(Head.EVENTS, "data: text\n\n"),
    /** Comments between events. */
    COMMENTS(Head.EVENTS, ": comment\n"),
    /** Bytes of no protocol. */
    GARBAGE("", "\u0000\u0007garbage");

    /** Heads that a target sends before the bytes without end. */
    private static final class Head {
        static final String CHUNKED =
                """
                HTTP/1.1 200 OK\r
                Transfer-Encoding: chunked\r
                \r
                """;
        static final String EVENTS =
                """
                HTTP/1.1 200 OK\r
                Server-Stamp: s\r
                Weight-Versions: 9\r
                Content-Type: text/event-stream\r
                \r
                """;
    }

    private static final int BLOCK_BYTES = 16 << 10;

    private final String mPrefix;
    private final String mPart;

    EndlessAnswer(String prefix, String part) {
        mPrefix = prefix;
        mPart = part;
    }

    @Override
    public void write(String id, OutputStream out) throws IOException {
        out.write(mPrefix.getBytes(StandardCharsets.ISO_8859_1));
        byte[] block =
                mPart.repeat(1 + BLOCK_BYTES / mPart.length())
                        .getBytes(StandardCharsets.ISO_8859_1);
        while (!Thread.currentThread().isInterrupted()) {
            out.write(block);
        }
    }

    @Override
    public boolean endsConnection() {
        return true;
    }
}
