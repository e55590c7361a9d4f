package dev.cactusspan.fleet;

/**
 * Bounds on what a client may send.
 *
 * @param maxHeaderBytes size of a request's header
 * @param maxBodyBytes size of a request's body
 * @param headerTimeoutMs time from the first byte of a request to the end of its header
 * @param idleTimeoutMs time that a connection may stay idle
 */
public record ClientLimits(
        int maxHeaderBytes, long maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {}
