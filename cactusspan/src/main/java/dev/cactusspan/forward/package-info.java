/** Forwarding of client requests to targets: selection, retries, hedging and deadlines. */
package dev.cactusspan.forward;
