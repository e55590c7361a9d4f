/** The time of day, apart from the steady clock that all durations and deadlines use. */
package dev.cactusspan.time;
