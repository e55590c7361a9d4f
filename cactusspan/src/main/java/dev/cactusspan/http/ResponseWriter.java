package dev.cactusspan.http;

import dev.cactusspan.intake.Body;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Iterator;
import org.xnio.IoUtils;

/** Writes a response in parts, as a socket copies each part that it is given. */
final class ResponseWriter implements IoCallback {
    private final Iterator<ByteBuffer> mParts;
    private final boolean mIsRequestRead;

    private ResponseWriter(Iterator<ByteBuffer> parts, boolean isRequestRead) {
        mParts = parts;
        mIsRequestRead = isRequestRead;
    }

    static void send(HttpServerExchange exchange, Body body) {
        boolean isRequestRead = exchange.isRequestComplete();
        if (!isRequestRead) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length());
        if (body.length() == 0 && isRequestRead) {
            exchange.endExchange();
            return;
        }
        new ResponseWriter(body.drainParts(), isRequestRead).next(exchange);
    }

    private void next(HttpServerExchange exchange) {
        ByteBuffer part = mParts.hasNext() ? mParts.next() : ByteBuffer.allocate(0);
        exchange.getResponseSender().send(part, this);
    }

    @Override
    public void onComplete(HttpServerExchange exchange, Sender sender) {
        if (mParts.hasNext()) {
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
