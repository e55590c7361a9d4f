package dev.cactusspan.http;

import dev.cactusspan.intake.Caller;
import dev.cactusspan.intake.CallerLimits;
import dev.cactusspan.intake.Callers;
import dev.cactusspan.intake.IntakeReport;
import dev.cactusspan.intake.MemoryBudget;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Serves HTTP with Undertow on one I/O thread, and holds each client to the limits on connections,
 * memory and pace. Requests on one connection are read one after another.
 */
public final class GuardedServer implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;

    /** Pooled buffers; one is in use for each read in progress and each request sent ahead. */
    private static final int MAX_POOLED_BUFFERS = 64;

    /** Fields of a header: several times what the platform's clients send. */
    private static final int MAX_HEADERS = 100;

    /** Parameters of a query: several times what the platform's calls have. */
    private static final int MAX_PARAMETERS = 64;

    /** Bodies are limited by their readers. */
    private static final long NO_LIMIT = -1;

    /** New connections that wait to be accepted. */
    private static final int BACKLOG = 1_000;

    /**
     * Bytes of a connection that the system keeps to be sent, of which it takes twice as many.
     * Without a bound it takes up to some MB for each client that does not read, beside the budget.
     */
    private static final int SEND_BUFFER_BYTES = 64 << 10;

    /** Interval at which time limits are checked, in milliseconds: a fraction of the shortest. */
    private static final long TICK_MS = 250;

    private final XnioWorker mWorker;
    private final MemoryBudget mBudget;
    private final IntakeReport mReport;
    private final TurnQueue mTurns;
    private final ByteBufferPool mBuffers =
            new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
    private final Map<StreamConnection, GuardedConnection> mConnections = new HashMap<>();

    private GuardedServer(XnioWorker worker, MemoryBudget budget, IntakeReport report) {
        mWorker = worker;
        mBudget = budget;
        mReport = report;
        mTurns =
                new TurnQueue(
                        (task, delayMs) ->
                                worker.getIoThread()
                                        .executeAfter(task, delayMs, TimeUnit.MILLISECONDS),
                        System::nanoTime);
    }

    /** Handles requests whose header was read. */
    public interface Handler {
        /**
         * Handles a request, on the I/O thread.
         *
         * @param exchange the request
         * @param connection its connection
         */
        void handle(HttpServerExchange exchange, GuardedConnection connection);
    }

    /**
     * Creates a server that listens nowhere yet.
     *
     * @param name name of its threads
     * @param workerThreads threads for handlers that wait
     * @param budget memory that all its clients share
     * @param report receives refusals
     * @return the server
     */
    public static GuardedServer create(
            String name, int workerThreads, MemoryBudget budget, IntakeReport report) {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_NAME, name)
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, workerThreads)
                        .set(Options.WORKER_TASK_MAX_THREADS, workerThreads)
                        // The process runs for as long as it serves.
                        .set(Options.THREAD_DAEMON, false)
                        .getMap();
        try {
            return new GuardedServer(Xnio.getInstance().createWorker(options), budget, report);
        } catch (IOException e) {
            throw new UncheckedIOException("no thread for " + name, e);
        }
    }

    // Operations

    /**
     * Listens at an address.
     *
     * @param address IP and port, port zero for any free one
     * @param limits limits on the clients of this address
     * @param handler handles their requests
     * @return the bound port
     * @throws IOException if the address cannot be bound
     */
    public int listen(InetSocketAddress address, Supplier<CallerLimits> limits, Handler handler)
            throws IOException {
        Callers callers = new Callers(mBudget, limits, mReport::add);
        HttpOpenListener listener = new HttpOpenListener(mBuffers, options(limits.get()));
        listener.setRootHandler(exchange -> handle(exchange, handler));
        AcceptingChannel<? extends StreamConnection> server =
                mWorker.createStreamConnectionServer(
                        address,
                        ChannelListeners.openListenerAdapter(
                                connection -> open(connection, callers, listener)),
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.SEND_BUFFER, SEND_BUFFER_BYTES)
                                .set(Options.BACKLOG, BACKLOG)
                                .getMap());
        mWorker.getIoThread()
                .executeAtInterval(
                        () -> {
                            listener.setUndertowOptions(options(limits.get()));
                            callers.tick(nowMs());
                            mReport.tick(nowMs());
                        },
                        TICK_MS,
                        TimeUnit.MILLISECONDS);
        server.resumeAccepts();
        return server.getLocalAddress(InetSocketAddress.class).getPort();
    }

    /**
     * Creates a probe that tells how far behind the thread is on which requests are acted on.
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

    private static OptionMap options(CallerLimits limits) {
        return OptionMap.builder()
                .set(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes())
                .set(UndertowOptions.MAX_ENTITY_SIZE, NO_LIMIT)
                .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .set(UndertowOptions.MAX_PARAMETERS, MAX_PARAMETERS)
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .getMap();
    }

    private void open(StreamConnection channel, Callers callers, HttpOpenListener listener) {
        GuardedConnection connection = new GuardedConnection(channel, callers, mTurns);
        Optional<Caller> caller = callers.open(nowMs(), connection::evict);
        if (caller.isEmpty()) {
            IoUtils.safeClose(channel);
            return;
        }
        connection.setCaller(caller.get());
        mConnections.put(channel, connection);
        channel.getSourceChannel()
                .setConduit(
                        new MeteredSource(
                                channel.getSourceChannel().getConduit(), connection::onRead));
        channel.getSinkChannel()
                .setConduit(
                        new MeteredSink(
                                channel.getSinkChannel().getConduit(), connection::onWrite));
        listener.handleEvent(channel);
        // Added to the listener that Undertow has set.
        channel.setCloseListener(this::closed);
        if (!channel.isOpen()) {
            closed(channel);
        }
    }

    private void closed(StreamConnection channel) {
        if (XnioIoThread.currentThread() != channel.getIoThread()) {
            channel.getIoThread().execute(() -> closed(channel));
            return;
        }
        GuardedConnection connection = mConnections.remove(channel);
        if (connection != null) {
            connection.onClosed();
        }
    }

    private void handle(HttpServerExchange exchange, Handler handler) {
        GuardedConnection connection =
                exchange.getConnection() instanceof HttpServerConnection http
                        ? mConnections.get(http.getChannel())
                        : null;
        if (connection == null) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        connection.start(exchange);
        handler.handle(exchange, connection);
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void close() {
        mWorker.shutdownNow();
    }
}
