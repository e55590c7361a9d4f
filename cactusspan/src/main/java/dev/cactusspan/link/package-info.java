/** TCP connections between processes of the system, with heartbeats. */
package dev.cactusspan.link;
