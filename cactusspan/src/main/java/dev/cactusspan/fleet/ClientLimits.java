package dev.cactusspan.fleet;

/**
 * Limits on client requests and connections.
 *
 * @param maxHeaderBytes maximum size of a request header
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeoutMs maximum time from the first byte of a request to the end of its header
 * @param idleTimeoutMs maximum time that a connection may stay idle
 */
public record ClientLimits(
        int maxHeaderBytes, long maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {}
