/** The side process that runs beside a target. */
package dev.cactusspan.side;
