/** Messages between processes of the system, and their encoding in frames. */
package dev.cactusspan.wire;
