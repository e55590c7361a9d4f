package dev.cactusspan.standin.hosted;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Emulates a target in trouble that is registered as ready and answers each request with raw bytes.
 */
public final class RawTarget implements AutoCloseable {
    private static final String HEAD_END = "\r\n\r\n";
    private static final Pattern REQUEST_ID = Pattern.compile("(?i)attempt-id: *(\\S+)");
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *([0-9]+)");

    private final StoreEmulator mStore;
    private final String mId;
    private final Answer mAnswer;
    private final ServerSocket mSocket;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final AtomicLong mRequests = new AtomicLong();

    /** What the target sends in place of a response. */
    public interface Answer {
        /**
         * Returns the name of the answer.
         *
         * @return its name, unique among those of one deployment
         */
        String name();

        /**
         * Writes the answer, or bytes without end until the caller closes the connection.
         *
         * @param id id of the request
         * @param out the connection
         * @throws IOException if the caller has closed it
         */
        void write(String id, OutputStream out) throws IOException;

        /**
         * Returns whether the target closes the connection after the answer.
         *
         * @return false if it waits for another request
         */
        boolean endsConnection();
    }

    private RawTarget(StoreEmulator store, String id, Answer answer) throws IOException {
        mStore = store;
        mId = id;
        mAnswer = answer;
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
     * @param answer what it sends
     * @return the running target
     */
    public static RawTarget start(
            StoreEmulator store, String id, String service, String model, Answer answer) {
        try {
            RawTarget target = new RawTarget(store, id, answer);
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
                mThreads.execute(() -> serve(socket));
            } catch (IOException e) {
                return; // closed
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                in.skipNBytes(Long.parseLong(find(LENGTH, head, "0")));
                mRequests.incrementAndGet();
                mAnswer.write(find(REQUEST_ID, head, ""), socket.getOutputStream());
                if (mAnswer.endsConnection()) {
                    return;
                }
            }
        } catch (IOException e) {
            // The caller has closed the connection, as it should.
            return;
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(HEAD_END) < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static String find(Pattern pattern, String head, String otherwise) {
        Matcher matcher = pattern.matcher(head);
        return matcher.find() ? matcher.group(1) : otherwise;
    }

    /**
     * Returns the number of requests so far.
     *
     * @return how often callers have tried this target
     */
    public long requestCount() {
        return mRequests.get();
    }

    Answer answer() {
        return mAnswer;
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
