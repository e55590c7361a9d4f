/** Messages between processes of the system and their frames. */
package dev.cactusspan.wire;
