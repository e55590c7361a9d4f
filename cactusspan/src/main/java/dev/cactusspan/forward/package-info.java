/** Forwarding of client requests to targets: choice, retries, hedges and deadlines. */
package dev.cactusspan.forward;
