/** The desired state in force and the targets that serve it, as a hosting platform names them. */
package dev.cactusspan.fleet;
