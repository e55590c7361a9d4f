/** Adapters for the hosting platform: stores, VM list, targets, usage interface, client HTTP. */
package dev.cactusspan.platform;
