/**
 * Adapters for the hosting platform: its stores, VM list, targets, usage interface and client HTTP.
 */
package dev.cactusspan.platform;
