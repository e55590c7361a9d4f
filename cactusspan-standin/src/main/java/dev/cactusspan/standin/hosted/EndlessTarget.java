package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Emulates a target in trouble that is registered as ready and answers each request with bytes
 * without end, until the caller closes the connection.
 */
public final class EndlessTarget implements AutoCloseable {
    private static final int BLOCK_BYTES = 16 << 10;
    private static final String CHUNKED =
            """
            HTTP/1.1 200 OK\r
            Transfer-Encoding: chunked\r
            \r
            """;
    private static final String EVENTS =
            """
            HTTP/1.1 200 OK\r
            Server-Stamp: s\r
            Weight-Versions: 9\r
            Content-Type: text/event-stream\r
            \r
            """;

    private final StoreEmulator mStore;
    private final String mId;
    private final Shape mShape;
    private final ServerSocket mSocket;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final AtomicLong mConnections = new AtomicLong();

    /** Where in the response the bytes without end are. */
    public enum Shape {
        /** The status line. */
        STATUS_LINE("HTTP/1.1 200 ", "O"),
        /** One header line. */
        HEADER_LINE("HTTP/1.1 200 OK\r\nName: ", "v"),
        /** Headers without number. */
        HEADERS("HTTP/1.1 200 OK\r\n", "Name: value\r\n"),
        /** Interim responses without number. */
        INTERIM("", "HTTP/1.1 100 Continue\r\n\r\n"),
        /** An extension of a chunk. */
        CHUNK_EXTENSION(CHUNKED + "1;x=", "y"),
        /** Trailers without number. */
        TRAILERS(CHUNKED + "0\r\n", "Name: value\r\n"),
        /** A body that ends with the connection. */
        BODY("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\n", "body"),
        /** One event of a stream. */
        EVENT(EVENTS + "id: 1\ndata: ", "text"),
        /** Events without number that have no id. */
        EVENT_LIST(EVENTS, "data: text\n\n"),
        /** Comments between events. */
        COMMENTS(EVENTS, ": comment\n"),
        /** Bytes of no protocol. */
        GARBAGE("", "\u0000\u0007garbage");

        private final String mPrefix;
        private final String mPart;

        Shape(String prefix, String part) {
            mPrefix = prefix;
            mPart = part;
        }

        byte[] prefix() {
            return mPrefix.getBytes(StandardCharsets.ISO_8859_1);
        }

        byte[] block() {
            return mPart.repeat(1 + BLOCK_BYTES / mPart.length())
                    .getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    private EndlessTarget(StoreEmulator store, String id, Shape shape) throws IOException {
        mStore = store;
        mId = id;
        mShape = shape;
        mSocket = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        mThreads.execute(this::accept);
    }

    /**
     * Starts a target on a free port of loopback and registers it.
     *
     * @param store the store
     * @param id its id
     * @param service its service
     * @param model the model of an engine, empty for a plain service
     * @param shape what it sends
     * @return the running target
     */
    public static EndlessTarget start(
            StoreEmulator store, String id, String service, String model, Shape shape) {
        try {
            EndlessTarget target = new EndlessTarget(store, id, shape);
            target.register(service, model);
            return target;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void register(String service, String model) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + mSocket.getLocalPort());
        entry.put("zone", "zone-a");
        entry.put("version", "v1");
        entry.put("slots", 8);
        entry.put("state", "ready");
        entry.put("cold_remaining_ms", 0);
        entry.put("sequence", 0);
        entry.put("born", 1);
        if (!model.isEmpty()) {
            entry.put("models", List.of(Map.of("name", model, "version", 9)));
        }
        mStore.put("servers/" + mId, entry);
    }

    private void accept() {
        while (!mSocket.isClosed()) {
            try {
                Socket socket = mSocket.accept();
                mConnections.incrementAndGet();
                mThreads.execute(() -> serve(socket));
            } catch (IOException e) {
                return; // closed
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.getInputStream().read();
            OutputStream out = socket.getOutputStream();
            out.write(mShape.prefix());
            byte[] block = mShape.block();
            while (!mSocket.isClosed()) {
                out.write(block);
            }
        } catch (IOException e) {
            // The caller has closed the connection, as it should.
            return;
        }
    }

    /**
     * Returns the number of connections so far.
     *
     * @return how many callers have tried this target
     */
    public long connectionCount() {
        return mConnections.get();
    }

    Shape shape() {
        return mShape;
    }

    @Override
    public void close() {
        mStore.delete("servers/" + mId);
        try {
            mSocket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mThreads.shutdownNow();
    }
}
