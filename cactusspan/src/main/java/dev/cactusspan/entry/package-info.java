/** The entry process: HTTP towards callers, trainers and operators. */
package dev.cactusspan.entry;
