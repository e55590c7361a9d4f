package dev.cactusspan.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One request and its answer; runs on one I/O thread. */
final class HttpExchange {
    private static final int READ_BYTES = 16 << 10;

    private final HttpClient mClient;
    private final HttpRequest mRequest;
    private final ResponseListener mListener;
    private final ByteBuffer mReadBuffer = ByteBuffer.allocate(READ_BYTES);
    private ClientConnection mConnection;
    private XnioExecutor.Key mTimer;
    private String mKeepAlive = "";
    private boolean mSent;
    private boolean mDone;

    HttpExchange(HttpClient caller, HttpRequest call, ResponseListener listener) {
        mClient = caller;
        mRequest = call;
        mListener = listener;
    }

    HttpRequest request() {
        return mRequest;
    }

    void startTimer(XnioIoThread thread) {
        mTimer =
                thread.executeAfter(
                        () -> fail("no answer within " + mRequest.timeoutMs() + " ms"),
                        mRequest.timeoutMs(),
                        TimeUnit.MILLISECONDS);
    }

    void send(ClientConnection connection) {
        if (mDone) {
            IoUtils.safeClose(connection);
            return;
        }
        mConnection = connection;
        mSent = true;
        ClientRequest request = new ClientRequest();
        request.setMethod(new HttpString(mRequest.method())).setPath(mRequest.path());
        HeaderMap headers = request.getRequestHeaders();
        mRequest.headers().forEach((name, value) -> headers.put(new HttpString(name), value));
        if (!headers.contains(Headers.HOST)) {
            headers.put(Headers.HOST, mRequest.server().getAuthority());
        }
        headers.put(Headers.CONTENT_LENGTH, mRequest.body().length);
        connection.sendRequest(request, callback(this::onStarted));
    }

    private void onStarted(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::onResponse));
        if (mRequest.body().length > 0) {
            write(exchange.getRequestChannel(), ByteBuffer.wrap(mRequest.body()));
        }
    }

    private void write(StreamSinkChannel channel, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (channel.write(body) == 0) {
                    channel.getWriteSetter().set(c -> write(c, body));
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            flush(channel);
        } catch (IOException e) {
            fail("cannot send: " + e.getMessage());
        }
    }

    private void flush(StreamSinkChannel channel) {
        try {
            if (channel.flush()) {
                channel.suspendWrites();
                return;
            }
            channel.getWriteSetter().set(this::flush);
            channel.resumeWrites();
        } catch (IOException e) {
            fail("cannot send: " + e.getMessage());
        }
    }

    private void onResponse(ClientExchange exchange) {
        if (mDone) {
            return;
        }
        Map<String, String> headers = new HashMap<>();
        for (HeaderValues values : exchange.getResponse().getResponseHeaders()) {
            String name = values.getHeaderName().toString().toLowerCase(Locale.ROOT);
            headers.put(name, values.getFirst());
        }
        mKeepAlive = headers.getOrDefault("keep-alive", "");
        mListener.onHead(exchange.getResponse().getResponseCode(), headers);
        StreamSourceChannel channel = exchange.getResponseChannel();
        channel.getReadSetter().set(this::read);
        read(channel);
    }

    private void read(StreamSourceChannel channel) {
        try {
            while (!mDone) {
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
                byte[] data = new byte[count];
                mReadBuffer.flip().get(data);
                mListener.onData(data);
            }
        } catch (IOException e) {
            fail("answer cut: " + e.getMessage());
        }
    }

    private void complete() {
        if (markDone()) {
            mClient.release(mRequest.server(), mConnection, mKeepAlive);
            mListener.onEnd();
        }
    }

    void fail(String reason) {
        if (markDone()) {
            IoUtils.safeClose(mConnection);
            mListener.onFailure(mSent, reason);
        }
    }

    private boolean markDone() {
        if (mDone) {
            return false;
        }
        mDone = true;
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
                fail(String.valueOf(e.getMessage()));
            }
        };
    }
}
