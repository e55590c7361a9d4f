package dev.cactusspan.command;

import dev.cactusspan.result.Result;
import dev.cactusspan.settings.SettingsReader;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Checks settings of a process. */
public final class SettingsCheckCommand implements Command {
    @Option(name = "--role", required = true, usage = "what the settings are for")
    private Role mRole;

    @Argument(metaVar = "FILE", required = true, usage = "the settings")
    private Path mFile;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) {
        Result<?> read =
                mRole == Role.ENTRY ? SettingsReader.entry(mFile) : SettingsReader.side(mFile);
        return read.fold(
                failure -> Reports.failed(err, failure),
                settings -> {
                    out.println(mFile + ": settings are valid");
                    return ExitCode.OK;
                });
    }

    /** Roles of processes. */
    public enum Role {
        /** An entry. */
        ENTRY,
        /** A side process. */
        SIDE
    }
}
