/** The regions to which requests are bound. */
package dev.cactusspan.region;
