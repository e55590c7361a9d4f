/** Limits per client account and fair queueing at a target. */
package dev.cactusspan.limit;
