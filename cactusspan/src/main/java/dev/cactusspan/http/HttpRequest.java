package dev.cactusspan.http;

import dev.cactusspan.intake.Body;
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
 * @param maxBytes maximum size of the response body; a response beyond it fails
 * @param newConnection true to open a new connection, so that a failure to connect proves that the
 *     request was not executed
 * @param tag tells the response to this request from others
 * @param maxSendDelayMs time after which the request is not sent any more, because what it says
 *     would no longer hold, in milliseconds; 0 for no limit
 */
public record HttpRequest(
        String method,
        URI server,
        String path,
        Map<String, String> headers,
        Body body,
        long timeoutMs,
        long maxBytes,
        boolean newConnection,
        ResponseTag tag,
        long maxSendDelayMs) {

    /** Maximum size of a response body where the caller sets none, in bytes. */
    public static final long DEFAULT_MAX_BYTES = 32L << 20;

    /**
     * Creates a request whose id the server does not repeat.
     *
     * @param method HTTP method
     * @param server scheme, IP and port
     * @param path path and query
     * @param headers headers without {@code Content-Length}
     * @param body body, empty if none
     * @param timeoutMs time-out for the complete response
     * @param maxBytes maximum size of the response body
     * @param newConnection true to open a new connection
     */
    public HttpRequest(
            String method,
            URI server,
            String path,
            Map<String, String> headers,
            byte[] body,
            long timeoutMs,
            long maxBytes,
            boolean newConnection) {
        this(
                method,
                server,
                path,
                headers,
                Body.of(body),
                timeoutMs,
                maxBytes,
                newConnection,
                ResponseTag.NONE,
                0);
    }

    /**
     * Returns this request with a tag, so that no second send of it uses a connection on which an
     * answer to the first may still arrive.
     *
     * @param tag tells the response to this request from others
     * @return the request
     */
    public HttpRequest withTag(ResponseTag tag) {
        return new HttpRequest(
                method,
                server,
                path,
                headers,
                body,
                timeoutMs,
                maxBytes,
                newConnection,
                tag,
                maxSendDelayMs);
    }

    /**
     * Returns this request without its body, which is no longer needed once the request has ended.
     *
     * @return the request
     */
    HttpRequest withoutBody() {
        return new HttpRequest(
                method,
                server,
                path,
                headers,
                Body.empty(),
                timeoutMs,
                maxBytes,
                newConnection,
                tag,
                maxSendDelayMs);
    }

    /**
     * Returns this request with another limit of its response.
     *
     * @param maxBytes maximum size of the response body
     * @return the request
     */
    public HttpRequest withMaxBytes(long maxBytes) {
        return new HttpRequest(
                method,
                server,
                path,
                headers,
                body,
                timeoutMs,
                maxBytes,
                newConnection,
                tag,
                maxSendDelayMs);
    }

    /**
     * Returns a GET request without a body.
     *
     * @param server scheme, IP and port
     * @param path path and query
     * @param timeoutMs time-out for the complete response
     * @return the request
     */
    public static HttpRequest get(URI server, String path, long timeoutMs) {
        return new HttpRequest(
                "GET", server, path, Map.of(), new byte[0], timeoutMs, DEFAULT_MAX_BYTES, false);
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
        return new HttpRequest(
                method, server, path, headers, body, timeoutMs, DEFAULT_MAX_BYTES, false);
    }
}
