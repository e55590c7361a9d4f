package dev.cactusspan.command;

import dev.cactusspan.result.Failure;
import java.io.PrintStream;

/** Prints failures of commands. */
public final class FailurePrinter {
    private FailurePrinter() {}

    /**
     * Prints a failure, one line per problem.
     *
     * @param err stream for errors
     * @param failure the failure
     * @return the exit code of a failed command
     */
    public static ExitCode print(PrintStream err, Failure failure) {
        failure.detail()
                .lines()
                .forEach(line -> err.println(failure.kind().wireName() + ": " + line));
        return ExitCode.FAILED;
    }
}
