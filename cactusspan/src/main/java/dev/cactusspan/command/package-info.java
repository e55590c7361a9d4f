/** The command line and its commands. */
package dev.cactusspan.command;
