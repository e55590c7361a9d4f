package dev.cactusspan.platform;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a client closes its connection while its request is in progress. Undertow does not
 * read from the connection in that time, so this class does, and returns any bytes of a following
 * request to Undertow.
 */
final class ClientDisconnectWatcher {
    private ClientDisconnectWatcher() {}

    /** Closes the connection once the client has closed it. Call this on the I/O thread. */
    static void start(HttpServerExchange exchange) {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
            return;
        }
        connection.getChannel().getSourceChannel().setReadListener(channel -> read(connection));
        connection.getOriginalSourceConduit().resumeReads();
    }

    /** Stops watching; Undertow reads again after the response. Call this on the I/O thread. */
    static void stop(HttpServerExchange exchange) {
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            connection.getOriginalSourceConduit().suspendReads();
        }
    }

    private static void read(HttpServerConnection connection) {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        PooledByteBuffer buffer = connection.getByteBufferPool().allocate();
        boolean isKept = false;
        try {
            int count = source.read(buffer.getBuffer());
            if (count > 0) {
                source.suspendReads();
                buffer.getBuffer().flip();
                connection.ungetRequestBytes(buffer);
                isKept = true;
            } else if (count < 0) {
                IoUtils.safeClose(connection);
            }
        } catch (IOException e) {
            // A reset connection is handled like a closed one.
            IoUtils.safeClose(connection);
        } finally {
            if (!isKept) {
                buffer.close();
            }
        }
    }
}
