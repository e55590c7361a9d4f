package dev.cactusspan.intake;

/**
 * Limits on callers of one address.
 *
 * @param maxConnections connections that are open at the same time
 * @param maxHeaderBytes maximum size of a request header
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeoutMs time from the first byte of a request to the end of its header
 * @param idleTimeoutMs time that a connection may stay idle
 */
public record CallerLimits(
        int maxConnections,
        int maxHeaderBytes,
        long maxBodyBytes,
        long headerTimeoutMs,
        long idleTimeoutMs) {

    /**
     * Returns these limits with another number of connections.
     *
     * @param connections connections that are open at the same time
     * @return the limits
     */
    public CallerLimits withMaxConnections(int connections) {
        return new CallerLimits(
                connections, maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs);
    }
}
