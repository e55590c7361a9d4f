/** How many targets a service needs in an availability zone. */
package dev.cactusspan.scaling;
