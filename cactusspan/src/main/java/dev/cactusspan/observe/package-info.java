/** Metrics and structured logs. */
package dev.cactusspan.observe;
