/** Forwarding of client requests to targets: selection, retries, hedging, refusals, deadlines. */
package dev.cactusspan.forward;
