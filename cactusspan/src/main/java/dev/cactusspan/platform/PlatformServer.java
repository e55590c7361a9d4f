package dev.cactusspan.platform;

import dev.cactusspan.forward.ClientRequest;
import dev.cactusspan.gateway.Gateway;
import dev.cactusspan.http.GuardedConnection;
import dev.cactusspan.http.GuardedServer;
import dev.cactusspan.http.HttpField;
import dev.cactusspan.http.ReadProbe;
import dev.cactusspan.http.RequestReader;
import dev.cactusspan.http.RequestTarget;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.intake.Body;
import dev.cactusspan.intake.CallerLimits;
import dev.cactusspan.intake.DoorCheck;
import dev.cactusspan.intake.IntakeReport;
import dev.cactusspan.intake.MemoryBudget;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Serves client requests and the readiness check over HTTP. */
public final class PlatformServer implements AutoCloseable {
    private static final String READY_PATH = "/-/readyz";
    private static final byte[] READY = "ready\n".getBytes(StandardCharsets.UTF_8);
    private static final byte[] NOT_READY = "not ready\n".getBytes(StandardCharsets.UTF_8);
    private static final String RESULTS_PREFIX = "/-/lots/";
    private static final String ITEM_PREFIX = "/-/items/";
    private static final int WORKER_THREADS = 1;

    /** Connections of the probe's address: the platform opens one a second. */
    private static final int MAX_READY_CONNECTIONS = 64;

    /** Maximum time that a client may wait for results in one request, in milliseconds. */
    private static final long MAX_READ_WAIT_MS = 10_000;

    /** Delay after which a client should retry a request refused at the door, in milliseconds. */
    private static final long RETRY_AFTER_MS = 150;

    private final Gateway mGateway;
    private final Executor mThread;
    private final BooleanSupplier mIsReady;
    private final DoorCheck mCheck;
    private final LongSupplier mDelayMs;
    private final LongSupplier mNowMs;
    private final InetSocketAddress mClientAddress;
    private final InetSocketAddress mReadyAddress;
    private final Supplier<CallerLimits> mLimits;
    private final GuardedServer mServer;

    /**
     * Creates the server; {@link #start} starts it.
     *
     * @param clients listen address for clients
     * @param ready listen address for readiness checks
     * @param gateway handles the requests
     * @param thread the thread on which the gateway is called
     * @param isReady returns whether this process accepts new connections
     * @param check decides on each request before its body is read
     * @param delayMs time between the arrival of a request and its reading, in milliseconds
     * @param nowMs monotonic clock in milliseconds
     * @param limits limits on clients
     * @param budget memory that all clients share
     * @param report receives refusals
     */
    public PlatformServer(
            InetSocketAddress clients,
            InetSocketAddress ready,
            Gateway gateway,
            Executor thread,
            BooleanSupplier isReady,
            DoorCheck check,
            LongSupplier delayMs,
            LongSupplier nowMs,
            Supplier<CallerLimits> limits,
            MemoryBudget budget,
            IntakeReport report) {
        mCheck = check;
        mDelayMs = delayMs;
        mNowMs = nowMs;
        mGateway = gateway;
        mThread = thread;
        mIsReady = isReady;
        mClientAddress = clients;
        mReadyAddress = ready;
        mLimits = limits;
        mServer = GuardedServer.create("clients", WORKER_THREADS, budget, report);
    }

    /**
     * Starts the server.
     *
     * @throws IOException if an address cannot be bound
     */
    public void start() throws IOException {
        mServer.listen(mReadyAddress, this::readyLimits, this::handleReady);
        mServer.listen(mClientAddress, mLimits, this::handle);
    }

    /**
     * Creates a probe that tells how far behind this process is with what clients send.
     *
     * @param thread the thread on which the gateway is called
     * @param onReadThrough receives times; all that had arrived by then has been acted on
     * @return the probe
     * @throws IOException if it cannot be opened
     */
    public ReadProbe newProbe(Executor thread, LongConsumer onReadThrough) throws IOException {
        return mServer.newProbe(thread, mNowMs, onReadThrough);
    }

    private CallerLimits readyLimits() {
        return mLimits.get().withMaxConnections(MAX_READY_CONNECTIONS);
    }

    private void handleReady(HttpServerExchange exchange, GuardedConnection connection) {
        boolean isReady = exchange.getRequestPath().equals(READY_PATH) && mIsReady.getAsBoolean();
        exchange.setStatusCode(isReady ? 200 : 503);
        GuardedConnection.send(exchange, isReady ? READY : NOT_READY);
    }

    private void handle(HttpServerExchange exchange, GuardedConnection connection) {
        PlatformSink sink = PlatformSink.of(exchange, connection);
        Optional<Failure> refusal = mCheck.refuse(arrival(exchange));
        if (refusal.isPresent()) {
            Decision.of("refused_at_door")
                    .with("request", header(exchange, PlatformHeaders.REQUEST_ID).orElse(""))
                    .with("failure", refusal.get().toString())
                    .info();
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE, () -> sink.fail(refusal.get(), RETRY_AFTER_MS));
            return;
        }
        RequestReader.read(
                exchange,
                connection,
                mLimits.get().maxBodyBytes(),
                new RequestReader.Listener() {
                    @Override
                    public void onRead(Body body) {
                        long readMs = mNowMs.getAsLong();
                        mThread.execute(() -> received(exchange, sink, body, readMs));
                    }

                    @Override
                    public void onRefused(Failure failure) {
                        sink.fail(failure, failure.isNotRun() ? RETRY_AFTER_MS : 0);
                    }
                });
    }

    private static DoorCheck.Arrival arrival(HttpServerExchange exchange) {
        String path = exchange.getRequestURI();
        boolean isNewWork = !path.startsWith(RESULTS_PREFIX) && !path.startsWith(ITEM_PREFIX);
        return new DoorCheck.Arrival(isNewWork, exchange.getRequestContentLength());
    }

    private void received(HttpServerExchange exchange, PlatformSink sink, Body body, long readMs) {
        String path = exchange.getRequestURI();
        if (path.startsWith(RESULTS_PREFIX)) {
            handleBatch(exchange, sink, path.substring(RESULTS_PREFIX.length()));
        } else if (path.startsWith(ITEM_PREFIX)) {
            handleItem(exchange, sink, path.substring(ITEM_PREFIX.length()));
        } else {
            long waitedMs = mNowMs.getAsLong() - readMs;
            forward(exchange, sink, body, Math.max(waitedMs, mDelayMs.getAsLong()));
        }
    }

    private void forward(HttpServerExchange exchange, PlatformSink sink, Body body, long waitedMs) {
        Optional<String> id = header(exchange, PlatformHeaders.REQUEST_ID);
        if (id.isEmpty()) {
            sink.fail(Failure.of(ErrorKind.BAD_REQUEST, "no " + PlatformHeaders.REQUEST_ID), 0);
            return;
        }
        String query = exchange.getQueryString();
        String path = exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
        String method = exchange.getRequestMethod().toString();
        String host = header(exchange, "Host").orElse("");
        Map<String, String> headers = headers(exchange);
        Result<RequestTarget> target =
                HttpField.token("method", method)
                        .flatMap(m -> HttpField.host("host", host))
                        .flatMap(h -> HttpField.check("headers", headers))
                        .flatMap(h -> RequestTarget.parse("path", path));
        if (!target.isOk()) {
            target.fold(f -> refuse(sink, f), t -> null);
            return;
        }
        ClientRequest request =
                new ClientRequest(
                        RequestId.of(id.get()),
                        method,
                        target.get().value(),
                        host,
                        PlatformHeaders.forwarded(headers),
                        body,
                        header(exchange, PlatformHeaders.API_KEY),
                        number(exchange, PlatformHeaders.TIME_LEFT),
                        number(exchange, PlatformHeaders.LAST_EVENT_ID),
                        header(exchange, PlatformHeaders.RESUMES).map(RequestId::of),
                        waitedMs);
        sink.onClientDisconnect(mThread, mGateway.handle(request, sink));
    }

    private static Void refuse(PlatformSink sink, Failure failure) {
        sink.fail(failure, 0);
        return null;
    }

    private void handleBatch(HttpServerExchange exchange, PlatformSink sink, String id) {
        Optional<String> key = header(exchange, PlatformHeaders.API_KEY);
        if (exchange.getRequestMethod().equals(Methods.DELETE)) {
            mGateway.endBatch(
                    BatchId.of(id), key, r -> sink.sendResult(r.map(ok -> new byte[0]), ""));
            return;
        }
        long waitMs =
                Math.min(MAX_READ_WAIT_MS, number(exchange, PlatformHeaders.WAIT_MS).orElse(0));
        int after =
                (int)
                        Math.min(
                                Integer.MAX_VALUE,
                                query(exchange, "after")
                                        .flatMap(PlatformServer::number)
                                        .orElse(0L));
        mGateway.readResults(
                BatchId.of(id),
                key,
                after,
                waitMs,
                r -> sink.sendResult(r.map(PlatformBatches::results), "application/json"));
        // The connection is closed with the client's; the wait itself ends soon.
        sink.onClientDisconnect(mThread, () -> {});
    }

    private void handleItem(HttpServerExchange exchange, PlatformSink sink, String id) {
        Result<ItemId> item =
                query(exchange, "id")
                        .map(i -> Result.of(ItemId.of(i)))
                        .orElse(Result.fail(ErrorKind.BAD_REQUEST, "no id in the query"));
        item.fold(
                f -> {
                    sink.fail(f, 0);
                    return null;
                },
                i -> {
                    mGateway.readItem(
                            BatchId.of(id),
                            header(exchange, PlatformHeaders.API_KEY),
                            i,
                            r -> sink.sendResult(r, "application/octet-stream"));
                    return null;
                });
    }

    private static Map<String, String> headers(HttpServerExchange exchange) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            if (!values.getHeaderName().equals(Headers.CONTENT_LENGTH)) {
                headers.put(values.getHeaderName().toString(), String.join(", ", values));
            }
        }
        return headers;
    }

    private static Optional<String> header(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }

    private static OptionalLong number(HttpServerExchange exchange, String name) {
        return header(exchange, name)
                .flatMap(PlatformServer::number)
                .map(OptionalLong::of)
                .orElse(OptionalLong.empty());
    }

    private static Optional<Long> number(String text) {
        return text.matches("[0-9]{1,18}") ? Optional.of(Long.parseLong(text)) : Optional.empty();
    }

    private static Optional<String> query(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(d -> d.getFirst());
    }

    @Override
    public void close() {
        mServer.close();
    }
}
