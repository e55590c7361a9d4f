package dev.cactusspan.http;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Sends HTTP requests with Undertow's client; keeps few idle connections for a short time. */
public final class HttpClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int MAX_IDLE_PER_SERVER = 16;

    /** Servers that do not say how long they keep a connection are asked for no longer. */
    private static final long DEFAULT_IDLE_MS = 4_000;

    private static final long MAX_IDLE_MS = 12_000;

    /** A connection is not used in the last part of its time, as it may close meanwhile. */
    private static final long IDLE_MARGIN_MS = 700;

    private static final long MS_PER_S = 1_000;
    private static final Pattern KEEP_ALIVE = Pattern.compile("timeout=([0-9]{1,6})");

    private final XnioWorker mWorker;
    private final ByteBufferPool mBuffers;
    private final Map<URI, Deque<Idle>> mIdle = new ConcurrentHashMap<>();

    private HttpClient(XnioWorker worker) {
        mWorker = worker;
        mBuffers = new DefaultByteBufferPool(false, BUFFER_BYTES, 64, 0);
    }

    /**
     * Creates a caller with one I/O thread.
     *
     * @return the caller
     * @throws IOException if its thread cannot be started
     */
    public static HttpClient create() throws IOException {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_NAME, "http-client")
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap();
        return new HttpClient(Xnio.getInstance().createWorker(options));
    }

    // Operations

    /**
     * Sends a request.
     *
     * @param call the request
     * @param listener receives the answer
     * @return closes the connection of the call when run; has no effect after the answer's end
     */
    public Runnable send(HttpRequest call, ResponseListener listener) {
        HttpExchange exchange = new HttpExchange(this, call, listener);
        mWorker.getIoThread().execute(() -> start(exchange));
        return () -> mWorker.getIoThread().execute(() -> exchange.fail("cancelled"));
    }

    /**
     * Sends a request and keeps its answer whole.
     *
     * @param call the request
     * @param maxBytes size of the answer at most
     * @return the answer, or {@code platform_unavailable} if it did not come whole
     */
    public CompletableFuture<Result<HttpResponse>> collect(HttpRequest call, int maxBytes) {
        CompletableFuture<Result<HttpResponse>> future = new CompletableFuture<>();
        send(call, new Collector(future, maxBytes));
        return future;
    }

    /**
     * Sends a request that changes something and keeps its answer whole.
     *
     * @param call the request
     * @param maxBytes size of the answer at most
     * @return the answer; {@code platform_unavailable} is proof that nothing was sent, {@code
     *     outcome_unknown} leaves open whether the request took effect
     */
    public CompletableFuture<Result<HttpResponse>> collectWrite(HttpRequest call, int maxBytes) {
        CompletableFuture<Result<HttpResponse>> future = new CompletableFuture<>();
        send(
                call,
                new Collector(future, maxBytes) {
                    @Override
                    public void onFailure(boolean sent, String reason) {
                        ErrorKind kind =
                                sent ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.PLATFORM_UNAVAILABLE;
                        future.complete(Result.fail(kind, reason));
                    }
                });
        return future;
    }

    private void start(HttpExchange exchange) {
        exchange.startTimer(mWorker.getIoThread());
        ClientConnection idle =
                exchange.request().newConnection() ? null : pollIdle(exchange.request().server());
        if (idle != null) {
            exchange.send(idle);
            return;
        }
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                exchange.send(connection);
                            }

                            @Override
                            public void failed(IOException e) {
                                exchange.fail("cannot connect: " + e.getMessage());
                            }
                        },
                        exchange.request().server(),
                        mWorker.getIoThread(),
                        mBuffers,
                        OptionMap.EMPTY);
    }

    private ClientConnection pollIdle(URI server) {
        Deque<Idle> idles = mIdle.get(server);
        while (idles != null && !idles.isEmpty()) {
            Idle idle = idles.pollLast();
            boolean isFresh = nowMs() < idle.untilMs();
            if (isFresh && idle.connection().isOpen()) {
                return idle.connection();
            }
            IoUtils.safeClose(idle.connection());
        }
        return null;
    }

    void release(URI server, ClientConnection connection, String keepAlive) {
        Deque<Idle> idles = mIdle.computeIfAbsent(server, s -> new ArrayDeque<>());
        if (!connection.isOpen() || idles.size() >= MAX_IDLE_PER_SERVER) {
            IoUtils.safeClose(connection);
            return;
        }
        idles.addLast(new Idle(connection, nowMs() + idleMs(keepAlive)));
    }

    private static long idleMs(String keepAlive) {
        Matcher matcher = KEEP_ALIVE.matcher(keepAlive);
        if (!matcher.find()) {
            return DEFAULT_IDLE_MS;
        }
        long saidMs = Long.parseLong(matcher.group(1)) * MS_PER_S;
        return Math.min(MAX_IDLE_MS, saidMs - IDLE_MARGIN_MS);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void close() {
        mWorker.shutdownNow();
    }

    private record Idle(ClientConnection connection, long untilMs) {}

    /** Keeps an answer whole. */
    private static class Collector implements ResponseListener {
        private final CompletableFuture<Result<HttpResponse>> mFuture;
        private final int mMaxBytes;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private int mStatus;
        private Map<String, String> mHeaders = Map.of();

        Collector(CompletableFuture<Result<HttpResponse>> future, int maxBytes) {
            mFuture = future;
            mMaxBytes = maxBytes;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            mStatus = status;
            mHeaders = headers;
        }

        @Override
        public void onData(byte[] data) {
            if (mBody.size() + data.length <= mMaxBytes) {
                mBody.writeBytes(data);
                return;
            }
            mFuture.complete(
                    Result.fail(ErrorKind.PAYLOAD_TOO_LARGE, "answer is over " + mMaxBytes));
        }

        @Override
        public void onEnd() {
            mFuture.complete(Result.of(new HttpResponse(mStatus, mHeaders, mBody.toByteArray())));
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            mFuture.complete(Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, reason));
        }
    }
}
