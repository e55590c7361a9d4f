/** How much work each target takes well, learned from how long work takes there. */
package dev.cactusspan.capacity;
