/** Durable claims for requests that run at most once. */
package dev.cactusspan.claim;
