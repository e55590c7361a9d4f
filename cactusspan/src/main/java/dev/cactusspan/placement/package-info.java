/** Decides which models and which news each target and process needs, without I/O. */
package dev.cactusspan.placement;
