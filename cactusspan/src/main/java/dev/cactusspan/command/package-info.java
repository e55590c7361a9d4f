/** The command line. */
package dev.cactusspan.command;
