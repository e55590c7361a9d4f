package dev.cactusspan.http;

import java.net.URI;
import java.util.Map;

/**
 * A request to an HTTP server.
 *
 * @param method HTTP method
 * @param server scheme, IP and port
 * @param path path and query
 * @param headers headers without {@code Content-Length}; without {@code Host}, the server's address
 *     is sent as the host
 * @param body body, empty if none
 * @param timeoutMs time-out for the complete response
 * @param newConnection true to open a new connection, so that a failure to connect proves that the
 *     request was not executed
 */
public record HttpRequest(
        String method,
        URI server,
        String path,
        Map<String, String> headers,
        byte[] body,
        long timeoutMs,
        boolean newConnection) {

    /**
     * Returns a GET request without a body.
     *
     * @param server scheme, IP and port
     * @param path path and query
     * @param timeoutMs time-out for the complete response
     * @return the request
     */
    public static HttpRequest get(URI server, String path, long timeoutMs) {
        return new HttpRequest("GET", server, path, Map.of(), new byte[0], timeoutMs, false);
    }

    /**
     * Returns a request with a JSON body.
     *
     * @param method HTTP method
     * @param server scheme, IP and port
     * @param path path and query
     * @param body JSON in UTF-8
     * @param timeoutMs time-out for the complete response
     * @return the request
     */
    public static HttpRequest json(
            String method, URI server, String path, byte[] body, long timeoutMs) {
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        return new HttpRequest(method, server, path, headers, body, timeoutMs, false);
    }
}
