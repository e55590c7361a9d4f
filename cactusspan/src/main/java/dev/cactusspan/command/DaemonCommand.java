package dev.cactusspan.command;

/** A command that starts a server, which continues to run after the command returns. */
public interface DaemonCommand extends Command {}
