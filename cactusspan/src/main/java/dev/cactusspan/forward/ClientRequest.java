package dev.cactusspan.forward;

import dev.cactusspan.id.RequestId;
import dev.cactusspan.intake.Body;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A request received from a client.
 *
 * @param id request id; each retry by the client has its own
 * @param method HTTP method
 * @param path path and query
 * @param host value of the Host header
 * @param headers headers to forward
 * @param body request body
 * @param key API key sent with the request
 * @param clientTimeoutMs the client's time-out in milliseconds, empty if not specified
 * @param resumeAfter id of the last stream event that the client received
 * @param resumes the client's request that brought the first event of that stream
 * @param waitedMs how long it has waited in this process, in milliseconds
 */
public record ClientRequest(
        RequestId id,
        String method,
        String path,
        String host,
        Map<String, String> headers,
        Body body,
        Optional<String> key,
        OptionalLong clientTimeoutMs,
        OptionalLong resumeAfter,
        Optional<RequestId> resumes,
        long waitedMs) {

    /**
     * Creates a request that has not waited, with a body that is an array.
     *
     * @param id request id
     * @param method HTTP method
     * @param path path and query
     * @param host value of the Host header
     * @param headers headers to forward
     * @param body request body
     * @param key API key sent with the request
     * @param clientTimeoutMs the client's time-out in milliseconds
     * @param resumeAfter id of the last stream event that the client received
     * @param resumes the client's request that brought the first event of that stream
     */
    public ClientRequest(
            RequestId id,
            String method,
            String path,
            String host,
            Map<String, String> headers,
            byte[] body,
            Optional<String> key,
            OptionalLong clientTimeoutMs,
            OptionalLong resumeAfter,
            Optional<RequestId> resumes) {
        this(
                id,
                method,
                path,
                host,
                headers,
                Body.of(body),
                key,
                clientTimeoutMs,
                resumeAfter,
                resumes,
                0);
    }

    /**
     * Returns whether the request resumes a stream of which the client has events.
     *
     * @return true if it names the last event
     */
    public boolean isResumption() {
        return resumeAfter.orElse(0) > 0;
    }

    /**
     * Returns the path without the query string.
     *
     * @return the path
     */
    public String pathOnly() {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }

    /**
     * Returns the host without the port.
     *
     * @return the host name used for route lookup
     */
    public String hostOnly() {
        int port = host.lastIndexOf(':');
        return port < 0 ? host : host.substring(0, port);
    }
}
