package dev.cactusspan.command;

import dev.cactusspan.result.Failure;
import java.io.PrintStream;

/** Writes failures to a terminal. */
public final class FailurePrinter {
    private FailurePrinter() {}

    /**
     * Writes a failure, one line a problem.
     *
     * @param err where errors are written
     * @param failure the failure
     * @return the exit code of a failed command
     */
    public static ExitCode print(PrintStream err, Failure failure) {
        failure.detail().lines().forEach(line -> err.println(failure.kind().word() + ": " + line));
        return ExitCode.FAILED;
    }
}
