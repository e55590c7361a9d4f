/** Clients of the platform: key-value service, VM list and usage interface. */
package dev.cactusspan.platform;
