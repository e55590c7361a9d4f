/** What callers may make a process hold, and for how long: memory, connections and pace. */
package dev.cactusspan.intake;
