/** Discovery of the other processes of the system, and calls between them. */
package dev.cactusspan.peer;
