package dev.cactusspan.command;

import java.io.IOException;
import java.io.PrintStream;

/** A command of the command line, with its options and arguments as fields. */
public interface Command {

    /**
     * Runs the command.
     *
     * @param out where results are written
     * @param err where errors are written, one line each
     * @return the exit code
     * @throws java.io.IOException if a process cannot start
     */
    ExitCode run(PrintStream out, PrintStream err) throws IOException;
}
