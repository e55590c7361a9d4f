/** The entry process, which serves HTTP to callers, trainers and operators. */
package dev.cactusspan.entry;
