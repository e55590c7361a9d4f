package dev.cactusspan.http;

import io.undertow.client.ClientConnection;

/**
 * A connection to a server.
 *
 * @param connection the connection
 * @param limit limits what the server sends on it
 * @param sent the requests that were sent on it
 */
record HttpConnection(ClientConnection connection, ResponseLimit limit, SentRequests sent)
        implements AutoCloseable {

    boolean isOpen() {
        return connection.isOpen();
    }

    /**
     * Closes the socket. The library's own close would wait up to ten seconds for the server to
     * close it too, and refer to the request and to what it has parsed until then.
     */
    @Override
    public void close() {
        limit.closeConnection();
    }
}
