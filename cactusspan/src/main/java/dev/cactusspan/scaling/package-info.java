/** Scaling of the targets of a service in an availability zone. */
package dev.cactusspan.scaling;
