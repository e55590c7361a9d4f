/** The current desired state and the targets that serve it, in terms of the hosting platform. */
package dev.cactusspan.fleet;
