package dev.cactusspan.platform;

import dev.cactusspan.forward.ClientSink;
import dev.cactusspan.http.GuardedConnection;
import dev.cactusspan.intake.Body;
import dev.cactusspan.intake.Hold;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executor;
import org.xnio.IoUtils;

/**
 * Writes a response to a client. The statuses 429 and 503 guarantee that the request was not
 * executed; 502 and 504 guarantee nothing.
 */
final class PlatformSink implements ClientSink {
    private static final double MS_PER_S = 1_000.0;

    /** Size of a response up to which the memory held for each request suffices, in bytes. */
    private static final int SMALL_RESPONSE_BYTES = 4 << 10;

    private final HttpServerExchange mExchange;
    private final GuardedConnection mConnection;
    private long mUnsentBytes;
    private final Deque<Chunk> mUnsent = new ArrayDeque<>();
    private boolean mIsSending;
    private boolean mIsEnding;

    private PlatformSink(HttpServerExchange exchange, GuardedConnection connection) {
        mExchange = exchange;
        mConnection = connection;
    }

    static PlatformSink of(HttpServerExchange exchange, GuardedConnection connection) {
        return new PlatformSink(exchange, connection);
    }

    /** Bytes of a streamed response and what to run once they are written. */
    private record Chunk(byte[] data, Runnable written) {}

    /** Runs a task on a thread if the connection closes before the response is complete. */
    void onClientDisconnect(Executor thread, Runnable task) {
        onIoThread(
                () -> {
                    if (mExchange.isResponseStarted() || mExchange.isComplete()) {
                        return;
                    }
                    mConnection.whenClosed(() -> thread.execute(task));
                    ClientDisconnectWatcher.start(mExchange);
                });
    }

    @Override
    public void respond(int status, Map<String, String> headers, Body body) {
        onIoThread(() -> send(status, headers, body));
    }

    /** Sends a response, whose memory the connection holds from now on. */
    private void send(int status, Map<String, String> headers, Body body) {
        try (Hold before = body.hold()) {
            sendHeld(status, headers, body);
        }
    }

    private void sendHeld(int status, Map<String, String> headers, Body body) {
        if (mExchange.isResponseStarted() || !mExchange.getConnection().isOpen()) {
            return;
        }
        ClientDisconnectWatcher.stop(mExchange);
        mConnection.onResponseComplete();
        if (body.length() > SMALL_RESPONSE_BYTES && !mConnection.holdResponse(body.length())) {
            IoUtils.safeClose(mExchange.getConnection());
            return;
        }
        mExchange.setStatusCode(status);
        headers.forEach((n, v) -> mExchange.getResponseHeaders().put(new HttpString(n), v));
        GuardedConnection.send(mExchange, body);
    }

    /** Sends the bytes with status 200, or the failure. */
    void sendResult(Result<byte[]> result, String contentType) {
        result.fold(
                f -> {
                    fail(f, 0);
                    return null;
                },
                body -> {
                    respond(
                            200,
                            contentType.isEmpty() ? Map.of() : Map.of("Content-Type", contentType),
                            Body.of(body));
                    return null;
                });
    }

    @Override
    public void start(int status, Map<String, String> headers) {
        onIoThread(
                () -> {
                    mExchange.setStatusCode(status);
                    headers.forEach(
                            (n, v) -> mExchange.getResponseHeaders().put(new HttpString(n), v));
                    mExchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
                });
    }

    @Override
    public void data(byte[] data, Runnable written) {
        onIoThread(
                () -> {
                    mUnsentBytes += data.length;
                    if (!mConnection.holdStream(mUnsentBytes)) {
                        IoUtils.safeClose(mExchange.getConnection());
                        return;
                    }
                    mUnsent.add(new Chunk(data, written));
                    sendNext();
                });
    }

    @Override
    public void end() {
        onIoThread(
                () -> {
                    mIsEnding = true;
                    mConnection.onResponseComplete();
                    sendNext();
                });
    }

    private void sendNext() {
        if (mIsSending) {
            return;
        }
        Chunk next = mUnsent.poll();
        if (next == null) {
            if (mIsEnding) {
                mExchange.endExchange();
            }
            return;
        }
        mIsSending = true;
        mExchange
                .getResponseSender()
                .send(
                        ByteBuffer.wrap(next.data()),
                        new IoCallback() {
                            @Override
                            public void onComplete(HttpServerExchange exchange, Sender sender) {
                                mIsSending = false;
                                mUnsentBytes -= next.data().length;
                                next.written().run();
                                sendNext();
                            }

                            @Override
                            public void onException(
                                    HttpServerExchange exchange, Sender sender, IOException e) {
                                mUnsent.clear();
                                IoUtils.safeClose(exchange.getConnection());
                            }
                        });
    }

    @Override
    public void abort() {
        onIoThread(() -> IoUtils.safeClose(mExchange.getConnection()));
    }

    @Override
    public void fail(Failure failure, long retryAfterMs) {
        Map<String, String> headers =
                retryAfterMs > 0
                        ? Map.of(
                                "Retry-After",
                                String.format(Locale.ROOT, "%.3f", retryAfterMs / MS_PER_S))
                        : Map.of();
        byte[] body =
                (failure.kind().wireName() + "\n")
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8);
        respond(status(failure), headers, Body.of(body));
    }

    private static int status(Failure failure) {
        return switch (failure.kind()) {
            case BAD_REQUEST -> 400;
            case UNAUTHENTICATED -> 401;
            case FORBIDDEN -> 403;
            case NOT_FOUND -> 404;
            case PAYLOAD_TOO_LARGE -> 413;
            case OVER_LIMIT -> 429;
            case DEADLINE_EXCEEDED -> 504;
            default -> failure.isNotRun() ? 503 : 502;
        };
    }

    private void onIoThread(Runnable task) {
        mExchange.getIoThread().execute(task);
    }
}
