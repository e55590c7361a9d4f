/** Settings of the processes. */
package dev.cactusspan.settings;
