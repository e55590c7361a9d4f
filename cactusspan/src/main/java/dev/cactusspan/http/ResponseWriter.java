package dev.cactusspan.http;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;

/** Writes a response in parts, as a socket copies each part that it is given. */
final class ResponseWriter implements IoCallback {
    /** Size of a part, and of the buffer through which it goes. */
    private static final int PART_BYTES = 64 << 10;

    private final ByteBuffer mBody;
    private final boolean mIsRequestRead;

    private ResponseWriter(ByteBuffer body, boolean isRequestRead) {
        mBody = body;
        mIsRequestRead = isRequestRead;
    }

    static void send(HttpServerExchange exchange, ByteBuffer body) {
        boolean isRequestRead = exchange.isRequestComplete();
        if (!isRequestRead) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.remaining());
        if (!body.hasRemaining() && isRequestRead) {
            exchange.endExchange();
            return;
        }
        new ResponseWriter(body, isRequestRead).next(exchange);
    }

    private void next(HttpServerExchange exchange) {
        int size = Math.min(PART_BYTES, mBody.remaining());
        ByteBuffer part = mBody.slice(mBody.position(), size);
        mBody.position(mBody.position() + size);
        exchange.getResponseSender().send(part, this);
    }

    @Override
    public void onComplete(HttpServerExchange exchange, Sender sender) {
        if (mBody.hasRemaining()) {
            next(exchange);
        } else if (mIsRequestRead) {
            exchange.endExchange();
        } else {
            LingeringClose.close(exchange);
        }
    }

    @Override
    public void onException(HttpServerExchange exchange, Sender sender, IOException e) {
        IoUtils.safeClose(exchange.getConnection());
    }
}
