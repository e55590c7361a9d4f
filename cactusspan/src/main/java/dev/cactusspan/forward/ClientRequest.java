package dev.cactusspan.forward;

import dev.cactusspan.id.RequestId;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A client's request.
 *
 * @param id its id, one for each attempt of the client
 * @param method HTTP method
 * @param path path and query
 * @param host host that it names
 * @param headers headers that pass on
 * @param body the body
 * @param key the key that came with it
 * @param clientTimeoutMs how long the client waits, empty if it does not say
 * @param resumeAfter last event that the client has of a stream
 */
public record ClientRequest(
        RequestId id,
        String method,
        String path,
        String host,
        Map<String, String> headers,
        byte[] body,
        Optional<String> key,
        OptionalLong clientTimeoutMs,
        OptionalLong resumeAfter) {

    /**
     * Returns the path without its query.
     *
     * @return the path
     */
    public String pathOnly() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }

    /**
     * Returns the host without its port.
     *
     * @return the host that routes are found by
     */
    public String hostOnly() {
        int port = host.lastIndexOf(':');
        return port < 0 ? host : host.substring(0, port);
    }
}
