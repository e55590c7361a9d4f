/**
 * Forwarding of client requests to targets: selection, retries, hedging and deadlines, and which
 * requests are kept away from targets.
 */
package dev.cactusspan.forward;
