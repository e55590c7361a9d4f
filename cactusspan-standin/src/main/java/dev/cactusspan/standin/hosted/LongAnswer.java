package dev.cactusspan.standin.hosted;

import dev.cactusspan.standin.StandInServer;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.xnio.IoUtils;

/** A long answer of a target, in the shape that the path of the request names. */
enum LongAnswer {
    /** With its length. */
    WHOLE("/quotes/long-whole"),
    /** A shorter one with its length. */
    MEDIUM("/quotes/medium-whole"),
    /** In chunks. */
    CHUNKED("/quotes/long-chunked"),
    /** A stream of events. */
    EVENTS(TargetEmulator.STREAM_PREFIX + "long-events"),
    /** Events of an item, whose texts are the item's result. */
    ITEM("/train/long-item");

    /** Size of an answer: less than the largest that a process accepts. */
    static final int BYTES = 6 << 20;

    /** Size of a shorter answer. */
    static final int MEDIUM_BYTES = 400 << 10;

    /** Size of an item's text: two results are less than a page. */
    static final int ITEM_BYTES = 400 << 10;

    private static final int EVENT_BYTES = 4 << 10;
    private static final byte[] ZEROS = new byte[BYTES];

    private final String mPath;

    LongAnswer(String path) {
        mPath = path;
    }

    /** Returns the path of requests that get this answer. */
    String path() {
        return mPath;
    }

    /** Returns the answer that a path names, empty if it names none. */
    static Optional<LongAnswer> of(String path) {
        return Arrays.stream(values()).filter(answer -> path.startsWith(answer.mPath)).findFirst();
    }

    /** Sends the answer; status line and other headers are set. */
    void send(HttpServerExchange exchange) {
        switch (this) {
            case WHOLE -> exchange.getResponseSender().send(ByteBuffer.wrap(ZEROS));
            case MEDIUM ->
                    exchange.getResponseSender().send(ByteBuffer.wrap(ZEROS, 0, MEDIUM_BYTES));
            case CHUNKED -> {
                exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
                exchange.getResponseSender().send(ByteBuffer.wrap(ZEROS));
            }
            case EVENTS -> sendEvents(exchange, BYTES);
            default -> sendEvents(exchange, ITEM_BYTES);
        }
    }

    private static void sendEvents(HttpServerExchange exchange, int bytes) {
        String last = StandInServer.header(exchange, "Last-Event-Id");
        int from = last.isEmpty() ? 0 : Integer.parseInt(last);
        exchange.startBlocking();
        try (OutputStream out = exchange.getOutputStream()) {
            for (int n = from + 1; n <= bytes / EVENT_BYTES; n++) {
                String event = "id: " + n + "\ndata: " + "x".repeat(EVENT_BYTES) + "\n\n";
                out.write(event.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The caller has cancelled the request.
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
