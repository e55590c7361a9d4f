/** Settings of a process. */
package dev.cactusspan.settings;
