package dev.cactusspan.http;

import dev.cactusspan.result.Result;
import dev.cactusspan.result.SendFailure;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One HTTP request and its response. All methods run on one I/O thread. */
final class HttpExchange {
    private static final int READ_BYTES = 16 << 10;

    /** Maximum bytes read in one turn, so that one server does not occupy the I/O thread. */
    private static final int MAX_TURN_BYTES = 128 << 10;

    private static final long NS_PER_MS = 1_000_000;
    private static final int NOT_MODIFIED = 304;
    private static final String EVENT_STREAM = "text/event-stream";

    private final HttpClient mClient;
    private HttpRequest mRequest;
    private final ResponseListener mListener;
    private final ByteBuffer mReadBuffer = ByteBuffer.allocate(READ_BYTES);
    private final ReadWindow mWindow = new ReadWindow();
    private final long mCreatedNs = System.nanoTime();
    private HttpConnection mConnection;
    private XnioIoThread mIoThread;
    private XnioExecutor.Key mTimer;
    private long mBodyBytes;
    private String mKeepAlive = "";
    private boolean mIsEventStream;
    private boolean mIsOwnResponse = true;
    private boolean mSent;
    private boolean mIsWritten;
    private boolean mDone;

    HttpExchange(HttpClient client, HttpRequest request, ResponseListener listener) {
        mClient = client;
        mRequest = request;
        mListener = listener;
    }

    HttpRequest request() {
        return mRequest;
    }

    void startTimer(XnioIoThread thread) {
        mIoThread = thread;
        mTimer =
                thread.executeAfter(
                        () ->
                                fail(
                                        SendFailure.NO_RESPONSE,
                                        "no answer within " + mRequest.timeoutMs() + " ms"),
                        mRequest.timeoutMs(),
                        TimeUnit.MILLISECONDS);
    }

    void send(HttpConnection connection) {
        if (mDone) {
            connection.close();
            return;
        }
        mConnection = connection;
        if (isTooLate()) {
            fail(SendFailure.NOT_SENT, "held up for over " + mRequest.maxSendDelayMs() + " ms");
            return;
        }
        Result<RequestTarget> target = checkedTarget();
        if (!target.isOk()) {
            fail(SendFailure.NOT_SENT, target.fold(f -> f.detail(), t -> ""));
            return;
        }
        mConnection
                .limit()
                .startResponse(
                        !mRequest.method().equals("HEAD"),
                        () -> fail(SendFailure.UNUSABLE_RESPONSE, "no memory for the head"));
        mConnection.sent().add(mRequest.tag());
        mSent = true;
        ClientRequest request = new ClientRequest();
        request.setMethod(new HttpString(mRequest.method())).setPath(target.get().value());
        HeaderMap headers = request.getRequestHeaders();
        mRequest.headers().forEach((name, value) -> headers.put(new HttpString(name), value));
        if (!headers.contains(Headers.HOST)) {
            headers.put(Headers.HOST, mRequest.server().getAuthority());
        }
        headers.put(Headers.CONTENT_LENGTH, mRequest.body().length());
        connection.connection().sendRequest(request, callback(this::onStarted));
    }

    private boolean isTooLate() {
        long delayMs = (System.nanoTime() - mCreatedNs) / NS_PER_MS;
        return mRequest.maxSendDelayMs() > 0 && delayMs > mRequest.maxSendDelayMs();
    }

    /** Checks all that is written before the body, whoever has composed the request. */
    private Result<RequestTarget> checkedTarget() {
        return HttpField.token("method", mRequest.method())
                .flatMap(method -> HttpField.check("headers", mRequest.headers()))
                .flatMap(headers -> RequestTarget.parse("path", mRequest.path()));
    }

    private void onStarted(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::onResponse));
        if (mRequest.body().length() > 0) {
            Iterator<ByteBuffer> parts = mRequest.body().parts();
            write(exchange.getRequestChannel(), parts.next(), parts);
        } else {
            mIsWritten = true;
        }
    }

    /** Writes one part after another, as the socket copies each buffer that it is given. */
    private void write(StreamSinkChannel channel, ByteBuffer first, Iterator<ByteBuffer> rest) {
        if (mDone) {
            return;
        }
        try {
            ByteBuffer part = first;
            while (part.hasRemaining() || rest.hasNext()) {
                if (!part.hasRemaining()) {
                    part = rest.next();
                }
                if (channel.write(part) == 0) {
                    ByteBuffer unsent = part;
                    channel.getWriteSetter().set(c -> write(c, unsent, rest));
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            flush(channel);
        } catch (IOException e) {
            fail(SendFailure.CONNECTION_LOST, "cannot send: " + e.getMessage());
        }
    }

    private void flush(StreamSinkChannel channel) {
        try {
            if (channel.flush()) {
                channel.suspendWrites();
                // The listener that wrote the body refers to it.
                channel.getWriteSetter().set(null);
                mIsWritten = true;
                return;
            }
            channel.getWriteSetter().set(this::flush);
            channel.resumeWrites();
        } catch (IOException e) {
            fail(SendFailure.CONNECTION_LOST, "cannot send: " + e.getMessage());
        }
    }

    private void onResponse(ClientExchange exchange) {
        if (mDone) {
            return;
        }
        int status = exchange.getResponse().getResponseCode();
        Map<String, String> headers = new HashMap<>();
        for (HeaderValues values : exchange.getResponse().getResponseHeaders()) {
            String name = values.getHeaderName().toString().toLowerCase(Locale.ROOT);
            headers.put(name, values.getFirst());
        }
        mIsEventStream =
                headers.getOrDefault("content-type", "")
                        .toLowerCase(Locale.ROOT)
                        .startsWith(EVENT_STREAM);
        mKeepAlive = headers.getOrDefault("keep-alive", "");
        mIsOwnResponse = mRequest.tag().isOwn(headers);
        mListener.onHead(status, headers);
        if (status == NOT_MODIFIED && headers.containsKey("content-length")) {
            // The parser would wait for the body whose length the head names.
            end(false);
            return;
        }
        StreamSourceChannel channel = exchange.getResponseChannel();
        channel.getReadSetter().set(this::read);
        read(channel);
    }

    private void read(StreamSourceChannel channel) {
        try {
            int turnBytes = 0;
            while (!mDone) {
                if (!mWindow.isOpen()) {
                    channel.suspendReads();
                    return;
                }
                if (turnBytes >= MAX_TURN_BYTES) {
                    channel.suspendReads();
                    mIoThread.execute(() -> read(channel));
                    return;
                }
                mReadBuffer.clear();
                int count = channel.read(mReadBuffer);
                if (count < 0) {
                    complete();
                    return;
                }
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                turnBytes += count;
                pass(channel, count);
            }
        } catch (IOException e) {
            failRead("answer cut: " + e.getMessage());
        }
    }

    private void pass(StreamSourceChannel channel, int count) {
        mBodyBytes += count;
        mConnection.limit().addBody(count);
        if (mBodyBytes > mRequest.maxBytes()) {
            fail(
                    SendFailure.UNUSABLE_RESPONSE,
                    "the response body exceeds " + mRequest.maxBytes() + " bytes");
            return;
        }
        byte[] data = new byte[count];
        mReadBuffer.flip().get(data);
        mWindow.add(count);
        mListener.onData(data, () -> consumed(channel, count));
    }

    private void consumed(StreamSourceChannel channel, int count) {
        if (mWindow.consume(count)) {
            mIoThread.execute(() -> read(channel));
        }
    }

    private void complete() {
        // A server that was stopped between two events ends its stream in the same way.
        if (mIsEventStream && mConnection.limit().endsWithConnection()) {
            fail(SendFailure.CONNECTION_LOST, "the events have neither a length nor chunks");
            return;
        }
        end(mConnection.limit().isAtEnd() && mIsOwnResponse && mIsWritten);
    }

    private void end(boolean mayKeepConnection) {
        if (markDone()) {
            if (mayKeepConnection) {
                mClient.release(mRequest.server(), mConnection, mKeepAlive);
            } else {
                mConnection.close();
            }
            mListener.onEnd();
        }
    }

    void fail(SendFailure failure, String reason) {
        if (markDone()) {
            if (mConnection != null) {
                mConnection.close();
            }
            mListener.onFailure(mSent ? failure : SendFailure.NOT_SENT, reason);
        }
    }

    private boolean markDone() {
        if (mDone) {
            return false;
        }
        mDone = true;
        if (mSent) {
            mConnection.limit().endResponse();
        }
        mRequest = mRequest.withoutBody();
        if (mTimer != null) {
            mTimer.remove();
        }
        return true;
    }

    private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> onCompleted) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange result) {
                onCompleted.accept(result);
            }

            @Override
            public void failed(IOException e) {
                failRead(String.valueOf(e.getMessage()));
            }
        };
    }

    /** A target that sends no valid response has not crashed, so that no connection is lost. */
    private void failRead(String reason) {
        mConnection
                .limit()
                .fault()
                .ifPresentOrElse(
                        fault -> fail(SendFailure.UNUSABLE_RESPONSE, fault),
                        () -> fail(SendFailure.CONNECTION_LOST, reason));
    }
}
