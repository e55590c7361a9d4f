/** The processes of the system on a hosting platform, and what clients may ask of them. */
package dev.cactusspan.gateway;
