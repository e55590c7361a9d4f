package dev.cactusspan.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Closes a connection on which a response went out before its request was read. A plain close would
 * reset it, and the client might lose the response. Instead, the response is ended first, and some
 * more bytes of the client are discarded.
 */
final class LingeringClose {
    /** Time for the client to read the response, in milliseconds: some round trips. */
    private static final long LINGER_MS = 500;

    /** Bytes of the client that are discarded meanwhile: what is on its way when it is refused. */
    private static final long MAX_DISCARDED_BYTES = 1 << 20;

    private final HttpServerConnection mConnection;
    private long mDiscardedBytes;

    private LingeringClose(HttpServerConnection connection) {
        mConnection = connection;
    }

    /** Ends the response of an exchange, whose bytes were written, and closes its connection. */
    static void close(HttpServerExchange exchange) {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        connection.getIoThread().execute(new LingeringClose(connection)::start);
    }

    private void start() {
        StreamSinkConduit sink = mConnection.getOriginalSinkConduit();
        try {
            sink.terminateWrites();
            sink.flush();
        } catch (IOException e) {
            // The client has gone; there is nobody to wait for.
            IoUtils.safeClose(mConnection);
            return;
        }
        mConnection.getChannel().getSourceChannel().setReadListener(channel -> discard());
        mConnection.getOriginalSourceConduit().resumeReads();
        mConnection
                .getIoThread()
                .executeAfter(
                        () -> IoUtils.safeClose(mConnection), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    private void discard() {
        StreamSourceConduit source = mConnection.getOriginalSourceConduit();
        try (PooledByteBuffer buffer = mConnection.getByteBufferPool().allocate()) {
            int count = source.read(buffer.getBuffer());
            mDiscardedBytes += Math.max(0, count);
            if (count < 0 || mDiscardedBytes > MAX_DISCARDED_BYTES) {
                IoUtils.safeClose(mConnection);
            }
        } catch (IOException e) {
            // The client has closed its end.
            IoUtils.safeClose(mConnection);
        }
    }
}
