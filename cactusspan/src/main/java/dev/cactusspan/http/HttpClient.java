package dev.cactusspan.http;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.result.SendFailure;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Sends HTTP requests with Undertow's client. A limited number of idle connections is kept for a
 * short time for reuse. No connection carries the same request twice, as the answer to the first
 * send may come a second time, and none is used after the answer to another request.
 */
public final class HttpClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int MAX_IDLE_PER_SERVER = 16;

    /** Idle time-out of connections to servers that send no {@code Keep-Alive} time-out. */
    private static final long DEFAULT_IDLE_MS = 4_000;

    private static final long MAX_IDLE_MS = 12_000;

    /**
     * Margin before a server's idle time-out within which a connection is not reused, as the server
     * may close it while the request is being sent.
     */
    private static final long IDLE_MARGIN_MS = 700;

    /** Memory for all responses that are collected: a quarter of the smallest heap. */
    private static final long MAX_COLLECTED_BYTES = 24 << 20;

    /** Size of ordinary reports and replies, which are never dropped. */
    private static final long SMALL_COLLECTED_BYTES = 4 << 10;

    private static final long MS_PER_S = 1_000;
    private static final Deque<IdleConnection> NO_CONNECTIONS = new ArrayDeque<>();
    private static final Pattern KEEP_ALIVE = Pattern.compile("timeout=([0-9]{1,6})");

    private final XnioWorker mWorker;
    private final LimitingIoThread mIoThread;
    private final ByteBufferPool mBuffers;
    private final ResponseBudget mCollected =
            new ResponseBudget(MAX_COLLECTED_BYTES, SMALL_COLLECTED_BYTES);
    private final Map<URI, Deque<IdleConnection>> mIdle = new ConcurrentHashMap<>();

    private HttpClient(XnioWorker worker) {
        mWorker = worker;
        mIoThread = new LimitingIoThread(worker.getIoThread());
        mBuffers = new DefaultByteBufferPool(false, BUFFER_BYTES, 64, 0);
    }

    /**
     * Creates a client with one I/O thread.
     *
     * @return the client
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
     * Creates a probe that tells how far behind the thread is on which responses are acted on.
     *
     * @param thread that thread
     * @param nowMs monotonic clock in milliseconds
     * @param onReadThrough receives times; all that had arrived by then has been acted on
     * @return the probe
     * @throws IOException if it cannot be opened
     */
    public ReadProbe newProbe(Executor thread, LongSupplier nowMs, LongConsumer onReadThrough)
            throws IOException {
        return ReadProbe.of(mWorker.getIoThread(), thread, nowMs, onReadThrough);
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param listener receives the response
     * @return an action that cancels the request and closes its connection; it has no effect after
     *     the end of the response
     */
    public Runnable send(HttpRequest request, ResponseListener listener) {
        HttpExchange exchange = new HttpExchange(this, request, listener);
        mIoThread.execute(() -> start(exchange));
        return () -> mIoThread.execute(() -> exchange.fail(SendFailure.NO_RESPONSE, "cancelled"));
    }

    /**
     * Sends a request and collects the complete response.
     *
     * @param request the request
     * @param maxBytes maximum size of the response body
     * @return the response, or {@code platform_unavailable} if it was not received completely
     */
    public CompletableFuture<Result<HttpResponse>> collect(HttpRequest request, int maxBytes) {
        return collect(request.withMaxBytes(maxBytes), f -> ErrorKind.PLATFORM_UNAVAILABLE);
    }

    /**
     * Sends a request that changes state at the server, and collects the complete response.
     *
     * @param request the request
     * @param maxBytes maximum size of the response body
     * @return the response; {@code platform_unavailable} if nothing was sent, {@code
     *     outcome_unknown} if the request may have taken effect
     */
    public CompletableFuture<Result<HttpResponse>> collectWrite(HttpRequest request, int maxBytes) {
        return collect(
                request.withMaxBytes(maxBytes),
                failure ->
                        failure.mayHaveRun()
                                ? ErrorKind.OUTCOME_UNKNOWN
                                : ErrorKind.PLATFORM_UNAVAILABLE);
    }

    private CompletableFuture<Result<HttpResponse>> collect(
            HttpRequest request, Function<SendFailure, ErrorKind> kindOfFailure) {
        ResponseCollector collector = new ResponseCollector(mCollected, kindOfFailure);
        HttpExchange exchange = new HttpExchange(this, request, collector);
        collector.whenDropped(
                () -> exchange.fail(SendFailure.UNUSABLE_RESPONSE, "no memory for the response"));
        mIoThread.execute(() -> start(exchange));
        return collector.response();
    }

    private void start(HttpExchange exchange) {
        exchange.startTimer(mIoThread);
        HttpConnection idle =
                exchange.request().newConnection() ? null : pollIdle(exchange.request());
        if (idle != null) {
            exchange.send(idle);
            return;
        }
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                exchange.send(
                                        new HttpConnection(
                                                connection,
                                                mIoThread.latest(),
                                                new SentRequests()));
                            }

                            @Override
                            public void failed(IOException e) {
                                exchange.fail(
                                        SendFailure.NOT_SENT, "cannot connect: " + e.getMessage());
                            }
                        },
                        exchange.request().server(),
                        mIoThread,
                        mBuffers,
                        OptionMap.EMPTY);
    }

    private HttpConnection pollIdle(HttpRequest request) {
        Deque<IdleConnection> connections = mIdle.getOrDefault(request.server(), NO_CONNECTIONS);
        for (Iterator<IdleConnection> newest = connections.descendingIterator();
                newest.hasNext(); ) {
            IdleConnection idle = newest.next();
            HttpConnection connection = idle.connection();
            if (nowMs() >= idle.expiresMs() || !connection.isOpen()) {
                newest.remove();
                connection.close();
            } else if (!connection.sent().mayAnswer(request)) {
                newest.remove();
                return connection;
            }
        }
        return null;
    }

    void release(URI server, HttpConnection connection, String keepAlive) {
        Deque<IdleConnection> connections = mIdle.computeIfAbsent(server, s -> new ArrayDeque<>());
        if (!connection.isOpen() || connections.size() >= MAX_IDLE_PER_SERVER) {
            connection.close();
            return;
        }
        connections.addLast(new IdleConnection(connection, nowMs() + idleMs(keepAlive)));
    }

    private static long idleMs(String keepAlive) {
        Matcher matcher = KEEP_ALIVE.matcher(keepAlive);
        if (!matcher.find()) {
            return DEFAULT_IDLE_MS;
        }
        long serverMs = Long.parseLong(matcher.group(1)) * MS_PER_S;
        return Math.min(MAX_IDLE_MS, serverMs - IDLE_MARGIN_MS);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void close() {
        mWorker.shutdownNow();
    }

    private record IdleConnection(HttpConnection connection, long expiresMs) {}
}
