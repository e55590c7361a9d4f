/** Durable claims that let a request run at most once. */
package dev.cactusspan.claim;
