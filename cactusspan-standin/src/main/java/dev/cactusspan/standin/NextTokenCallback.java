package dev.cactusspan.standin;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import org.xnio.IoUtils;

/** Sends the next token after the previous one has been sent. */
final class NextTokenCallback implements IoCallback {
    private final Runnable mNext;

    NextTokenCallback(Runnable next) {
        mNext = next;
    }

    @Override
    public void onComplete(HttpServerExchange exchange, Sender sender) {
        mNext.run();
    }

    @Override
    public void onException(HttpServerExchange exchange, Sender sender, IOException e) {
        IoUtils.safeClose(exchange.getConnection());
    }
}
