package dev.cactusspan.command;

import dev.cactusspan.result.Result;
import dev.cactusspan.settings.SettingsReader;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Validates a settings file of a process. */
public final class SettingsCheckCommand implements Command {
    @Option(name = "--role", usage = "role of the process; PLATFORM if not given")
    private Role mRole = Role.PLATFORM;

    @Argument(metaVar = "FILE", required = true, usage = "the settings")
    private Path mFile;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) {
        Result<?> read =
                switch (mRole) {
                    case ENTRY -> SettingsReader.entry(mFile);
                    case SIDE -> SettingsReader.side(mFile);
                    case PLATFORM -> SettingsReader.gateway(mFile);
                };
        return read.fold(
                failure -> FailurePrinter.print(err, failure),
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
        SIDE,
        /** A process on a hosting platform. */
        PLATFORM
    }
}
