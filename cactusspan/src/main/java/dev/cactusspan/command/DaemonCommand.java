package dev.cactusspan.command;

/** A command that starts a server and returns while it runs. */
public interface DaemonCommand extends Command {}
