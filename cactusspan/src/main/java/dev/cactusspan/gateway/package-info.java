/** Processes that run on a hosting platform, and the client operations that they serve. */
package dev.cactusspan.gateway;
