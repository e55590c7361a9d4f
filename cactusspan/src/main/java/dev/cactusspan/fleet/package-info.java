/** The desired state, the targets that serve it, and how processes share their request limits. */
package dev.cactusspan.fleet;
