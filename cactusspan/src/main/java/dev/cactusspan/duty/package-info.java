/** Duties, which one process at a time performs: usage reports and weight rollouts. */
package dev.cactusspan.duty;
