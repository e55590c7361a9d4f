/** Forwarding of client requests to targets: selection, retries, hedging, resumption, deadlines. */
package dev.cactusspan.forward;
