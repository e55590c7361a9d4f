/** Limits for each client account and fair queueing at a target. */
package dev.cactusspan.limit;
