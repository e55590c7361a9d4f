/**
 * The current desired state and the targets that serve it, in terms of the hosting platform, and
 * how processes share the request limits of targets.
 */
package dev.cactusspan.fleet;
