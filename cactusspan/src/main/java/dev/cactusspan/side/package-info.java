/** The side process beside a target. */
package dev.cactusspan.side;
