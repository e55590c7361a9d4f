package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Long heads that never end: the target falls silent and keeps the connection open. */
public enum UnfinishedAnswer implements RawTarget.Answer {
    /** Many short fields with names of their own. */
    FIELDS("HTTP/1.1 200 OK\r\n", true),
    /** One long field. */
    FIELD("HTTP/1.1 200 OK\r\nName: ", false),
    /** Many short trailers behind a body. */
    TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", true);

    private static final int LENGTH_BYTES = 100 << 10;

    private final String mText;

    UnfinishedAnswer(String start, boolean isOfShortFields) {
        StringBuilder text = new StringBuilder(start);
        for (int i = 0; text.length() < LENGTH_BYTES; i++) {
            text.append(isOfShortFields ? Integer.toString(i, 36) + ":\r\n" : "v");
        }
        mText = text.toString();
    }

    @Override
    public void write(String id, OutputStream out) throws IOException {
        out.write(mText.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public boolean endsConnection() {
        return false;
    }
}
