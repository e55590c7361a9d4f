package dev.cactusspan.command;

import java.io.IOException;
import java.io.PrintStream;

/** A command of the command line. Its options and arguments are fields. */
public interface Command {

    /**
     * Runs the command.
     *
     * @param out stream for results
     * @param err stream for errors, one line each
     * @return the exit code
     * @throws java.io.IOException if a process cannot start
     */
    ExitCode run(PrintStream out, PrintStream err) throws IOException;
}
