/** The order in which work waits for places at the targets of a service. */
package dev.cactusspan.waiting;
