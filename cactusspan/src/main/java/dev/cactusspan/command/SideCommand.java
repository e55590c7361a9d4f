package dev.cactusspan.command;

import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.Result;
import dev.cactusspan.settings.SettingsReader;
import dev.cactusspan.settings.SideSettings;
import dev.cactusspan.side.SideProcess;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Runs the side process of a target until it receives SIGTERM. */
public final class SideCommand implements DaemonCommand {
    @Option(
            name = "--settings",
            metaVar = "FILE",
            required = true,
            usage = "settings of the side process")
    private Path mSettings;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        Result<SideSettings> settings = SettingsReader.side(mSettings);
        if (!settings.isOk()) {
            return settings.fold(f -> FailurePrinter.print(err, f), s -> ExitCode.OK);
        }
        SideProcess process = new SideProcess(settings.get(), Telemetry.create());
        process.start();
        Shutdown.onSignal(process::drain, process);
        return ExitCode.OK;
    }
}
