package dev.cactusspan.platform;

import dev.cactusspan.forward.ClientRequest;
import dev.cactusspan.gateway.Gateway;
import dev.cactusspan.http.ReadProbe;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.overload.OverloadGate;
import dev.cactusspan.overload.OverloadGate.Work;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** Serves client requests and the readiness check over HTTP. */
public final class PlatformServer implements AutoCloseable {
    private static final String READY_PATH = "/-/readyz";
    private static final String RESULTS_PREFIX = "/-/lots/";
    private static final String ITEM_PREFIX = "/-/items/";
    private static final int WORKER_THREADS = 1;
    private static final int BUFFER_BYTES = 16 << 10;

    private static final int UNAVAILABLE = 503;

    /** Size from which a body is taken for a batch before it is read; its items are hundreds. */
    private static final long BATCH_BYTES = 8 << 10;

    /** Time after which a refused client comes again, at another process, in seconds. */
    private static final String SHED_RETRY_AFTER_S = "0.15";

    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final long MAX_BODY_BYTES = 32 << 20;
    private static final int HEADER_TIMEOUT_MS = 3_000;
    private static final int IDLE_TIMEOUT_MS = 15_000;

    private final Gateway mGateway;
    private final Executor mThread;
    private final BooleanSupplier mIsReady;
    private final OverloadGate mGate;
    private final LongSupplier mNowMs;
    private final int mReadyPort;
    private final Undertow mServer;

    /**
     * Creates the server; {@link #start} starts it.
     *
     * @param clients listen address for clients
     * @param ready listen address for readiness checks
     * @param gateway handles the requests
     * @param thread the thread on which the gateway is called
     * @param isReady returns whether this process accepts new connections
     * @param gate refuses new work that this process cannot carry
     * @param nowMs monotonic clock in milliseconds
     */
    public PlatformServer(
            InetSocketAddress clients,
            InetSocketAddress ready,
            Gateway gateway,
            Executor thread,
            BooleanSupplier isReady,
            OverloadGate gate,
            LongSupplier nowMs) {
        mGateway = gateway;
        mThread = thread;
        mIsReady = isReady;
        mGate = gate;
        mNowMs = nowMs;
        mReadyPort = ready.getPort();
        mServer =
                Undertow.builder()
                        .addHttpListener(clients.getPort(), clients.getHostString())
                        .addHttpListener(ready.getPort(), ready.getHostString())
                        .setIoThreads(1)
                        .setWorkerThreads(WORKER_THREADS)
                        .setBufferSize(BUFFER_BYTES)
                        .setDirectBuffers(false)
                        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADER_TIMEOUT_MS)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
                        .setServerOption(UndertowOptions.DECODE_URL, false)
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setHandler(this::handle)
                        .build();
    }

    /** Starts the server. */
    public void start() {
        mServer.start();
    }

    /**
     * Creates a probe that tells how far behind this process is with what clients send. The server
     * must have been started.
     *
     * @param thread the thread on which the gateway is called
     * @param onReadThrough receives times; all that had arrived by then has been acted on
     * @return the probe
     * @throws IOException if it cannot be opened
     */
    public ReadProbe newProbe(Executor thread, LongConsumer onReadThrough) throws IOException {
        return ReadProbe.of(mServer.getWorker().getIoThread(), thread, mNowMs, onReadThrough);
    }

    private void handle(HttpServerExchange exchange) {
        InetSocketAddress local = (InetSocketAddress) exchange.getConnection().getLocalAddress();
        if (local.getPort() == mReadyPort) {
            boolean isReady =
                    exchange.getRequestPath().equals(READY_PATH) && mIsReady.getAsBoolean();
            exchange.setStatusCode(isReady ? 200 : 503);
            exchange.endExchange();
            return;
        }
        if (isNewWork(exchange) && mGate.refuses(work(exchange))) {
            refuse(exchange);
            return;
        }
        exchange.getRequestReceiver().receiveFullBytes(this::received, this::rejectUnreadable);
    }

    private static boolean isNewWork(HttpServerExchange exchange) {
        String path = exchange.getRequestURI();
        return !path.startsWith(RESULTS_PREFIX) && !path.startsWith(ITEM_PREFIX);
    }

    private static Work work(HttpServerExchange exchange) {
        return exchange.getRequestContentLength() > BATCH_BYTES ? Work.BATCH : Work.REQUEST;
    }

    /** Refuses a request before its body is read, as each of its bytes costs processor time. */
    private void refuse(HttpServerExchange exchange) {
        Decision.of("request_shed")
                .with("request", header(exchange, PlatformHeaders.REQUEST_ID).orElse(""))
                .with("work", work(exchange).name())
                .with("delay_ms", mGate.delayMs())
                .info();
        exchange.setStatusCode(UNAVAILABLE);
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, SHED_RETRY_AFTER_S);
        exchange.endExchange();
    }

    private void rejectUnreadable(HttpServerExchange exchange, IOException e) {
        exchange.dispatch(
                (HttpHandler)
                        x ->
                                PlatformSink.of(x)
                                        .fail(
                                                Failure.of(
                                                        ErrorKind.PAYLOAD_TOO_LARGE,
                                                        String.valueOf(e.getMessage())),
                                                0));
    }

    private void received(HttpServerExchange exchange, byte[] body) {
        PlatformSink sink = PlatformSink.of(exchange);
        long receivedMs = mNowMs.getAsLong();
        exchange.dispatch(
                mThread,
                () -> {
                    long waitedMs = mNowMs.getAsLong() - receivedMs;
                    String path = exchange.getRequestURI();
                    if (path.startsWith(RESULTS_PREFIX)) {
                        handleBatch(exchange, sink, path.substring(RESULTS_PREFIX.length()));
                    } else if (path.startsWith(ITEM_PREFIX)) {
                        handleItem(exchange, sink, path.substring(ITEM_PREFIX.length()));
                    } else {
                        forward(exchange, sink, body, Math.max(waitedMs, mGate.delayMs()));
                    }
                });
    }

    private void forward(
            HttpServerExchange exchange, PlatformSink sink, byte[] body, long waitedMs) {
        Optional<String> id = header(exchange, PlatformHeaders.REQUEST_ID);
        if (id.isEmpty()) {
            sink.fail(Failure.of(ErrorKind.BAD_REQUEST, "no " + PlatformHeaders.REQUEST_ID), 0);
            return;
        }
        String query = exchange.getQueryString();
        ClientRequest request =
                new ClientRequest(
                        RequestId.of(id.get()),
                        exchange.getRequestMethod().toString(),
                        query.isEmpty()
                                ? exchange.getRequestURI()
                                : exchange.getRequestURI() + "?" + query,
                        header(exchange, "Host").orElse(""),
                        PlatformHeaders.forwarded(headers(exchange)),
                        body,
                        header(exchange, PlatformHeaders.API_KEY),
                        number(exchange, PlatformHeaders.TIME_LEFT),
                        number(exchange, PlatformHeaders.LAST_EVENT_ID),
                        header(exchange, PlatformHeaders.RESUMES).map(RequestId::of),
                        waitedMs);
        sink.onClientDisconnect(mThread, mGateway.handle(request, sink));
    }

    private void handleBatch(HttpServerExchange exchange, PlatformSink sink, String id) {
        Optional<String> key = header(exchange, PlatformHeaders.API_KEY);
        if (exchange.getRequestMethod().equals(Methods.DELETE)) {
            mGateway.endBatch(
                    BatchId.of(id), key, r -> sink.sendResult(r.map(ok -> new byte[0]), ""));
            return;
        }
        long waitMs = number(exchange, PlatformHeaders.WAIT_MS).orElse(0);
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
        mServer.stop();
    }
}
