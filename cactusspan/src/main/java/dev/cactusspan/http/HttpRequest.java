package dev.cactusspan.http;

import java.net.URI;
import java.util.Map;

/**
 * A request to an HTTP server.
 *
 * @param method HTTP method
 * @param server scheme, IP and port
 * @param path path and query
 * @param headers headers without length; the server's address is the host if none is given
 * @param body body, empty if none
 * @param timeoutMs time for the whole answer
 * @param newConnection true to use a new connection, so that a failure to connect proves "not run"
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
     * Returns a call without a body.
     *
     * @param server scheme, IP and port
     * @param path path and query
     * @param timeoutMs time for the whole answer
     * @return the call
     */
    public static HttpRequest get(URI server, String path, long timeoutMs) {
        return new HttpRequest("GET", server, path, Map.of(), new byte[0], timeoutMs, false);
    }

    /**
     * Returns a call with a JSON body.
     *
     * @param method HTTP method
     * @param server scheme, IP and port
     * @param path path and query
     * @param body JSON in UTF-8
     * @param timeoutMs time for the whole answer
     * @return the call
     */
    public static HttpRequest json(
            String method, URI server, String path, byte[] body, long timeoutMs) {
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        return new HttpRequest(method, server, path, headers, body, timeoutMs, false);
    }
}
