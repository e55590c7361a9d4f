/** The other processes of the system: which are alive, and calls between them. */
package dev.cactusspan.peer;
