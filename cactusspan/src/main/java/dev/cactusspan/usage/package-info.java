/** Usage of client accounts: cumulative counters, sealed windows and reports. */
package dev.cactusspan.usage;
