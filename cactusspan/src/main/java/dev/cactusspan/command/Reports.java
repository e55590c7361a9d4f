package dev.cactusspan.command;

import dev.cactusspan.result.Failure;
import java.io.PrintStream;

/** Writes failures to a terminal. */
public final class Reports {
    private Reports() {}

    /**
     * Writes a failure, one line a problem.
     *
     * @param err where errors are written
     * @param failure the failure
     * @return the exit code of a failed command
     */
    public static ExitCode failed(PrintStream err, Failure failure) {
        failure.detail()
                .lines()
                .forEach(line -> err.println(failure.kind().wireName() + ": " + line));
        return ExitCode.FAILED;
    }
}
