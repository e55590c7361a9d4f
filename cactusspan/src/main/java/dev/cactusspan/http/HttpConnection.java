package dev.cactusspan.http;

import io.undertow.client.ClientConnection;

/**
 * A connection to a server.
 *
 * @param connection the connection
 * @param limit limits what the server sends on it
 * @param sent the requests that were sent on it
 */
record HttpConnection(ClientConnection connection, ResponseLimit limit, SentRequests sent) {}
