/** Decisions of a process that falls behind: what it may still act on, and what it takes on. */
package dev.cactusspan.overload;
