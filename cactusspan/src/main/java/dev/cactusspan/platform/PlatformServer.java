package dev.cactusspan.platform;

import dev.cactusspan.forward.ClientRequest;
import dev.cactusspan.gateway.Gateway;
import dev.cactusspan.http.HttpField;
import dev.cactusspan.http.RequestTarget;
import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ItemId;
import dev.cactusspan.id.RequestId;
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

/** Serves client requests and the readiness check over HTTP. */
public final class PlatformServer implements AutoCloseable {
    private static final String READY_PATH = "/-/readyz";
    private static final String RESULTS_PREFIX = "/-/lots/";
    private static final String ITEM_PREFIX = "/-/items/";
    private static final int WORKER_THREADS = 1;
    private static final int BUFFER_BYTES = 16 << 10;

    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final long MAX_BODY_BYTES = 32 << 20;
    private static final int HEADER_TIMEOUT_MS = 3_000;
    private static final int IDLE_TIMEOUT_MS = 15_000;

    private final Gateway mGateway;
    private final Executor mThread;
    private final BooleanSupplier mIsReady;
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
     */
    public PlatformServer(
            InetSocketAddress clients,
            InetSocketAddress ready,
            Gateway gateway,
            Executor thread,
            BooleanSupplier isReady) {
        mGateway = gateway;
        mThread = thread;
        mIsReady = isReady;
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

    private void handle(HttpServerExchange exchange) {
        InetSocketAddress local = (InetSocketAddress) exchange.getConnection().getLocalAddress();
        if (local.getPort() == mReadyPort) {
            boolean isReady =
                    exchange.getRequestPath().equals(READY_PATH) && mIsReady.getAsBoolean();
            exchange.setStatusCode(isReady ? 200 : 503);
            exchange.endExchange();
            return;
        }
        exchange.getRequestReceiver().receiveFullBytes(this::received, this::rejectUnreadable);
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
        exchange.dispatch(
                mThread,
                () -> {
                    String path = exchange.getRequestURI();
                    if (path.startsWith(RESULTS_PREFIX)) {
                        handleBatch(exchange, sink, path.substring(RESULTS_PREFIX.length()));
                    } else if (path.startsWith(ITEM_PREFIX)) {
                        handleItem(exchange, sink, path.substring(ITEM_PREFIX.length()));
                    } else {
                        forward(exchange, sink, body);
                    }
                });
    }

    private void forward(HttpServerExchange exchange, PlatformSink sink, byte[] body) {
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
                        header(exchange, PlatformHeaders.RESUMES).map(RequestId::of));
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
