/** Work that one process at a time does: usage reports and weight versions. */
package dev.cactusspan.duty;
