package dev.cactusspan.command;

import dev.cactusspan.entry.EntryProcess;
import dev.cactusspan.gateway.GatewayProcess;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.Result;
import dev.cactusspan.settings.EntrySettings;
import dev.cactusspan.settings.GatewaySettings;
import dev.cactusspan.settings.SettingsReader;
import dev.cactusspan.time.WallClock;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Runs an entry process until it receives SIGTERM. */
public final class EntryCommand implements DaemonCommand {
    @Option(
            name = "--settings",
            metaVar = "FILE",
            usage = "settings of the entry; if absent, the file that CACTUSSPAN_CONFIG names")
    private Path mSettings;

    private final WallClock mWallClock;

    /** Creates the command with the system's wall clock. */
    public EntryCommand() {
        this(WallClock.ofSystem());
    }

    /**
     * Creates the command.
     *
     * @param wallClock the time of day
     */
    public EntryCommand(WallClock wallClock) {
        mWallClock = wallClock;
    }

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        if (mSettings != null) {
            return runStandalone(err);
        }
        if (!PlatformSettings.isConfigured()) {
            err.println("cactusspan entry: no --settings, and CACTUSSPAN_CONFIG is not set");
            return ExitCode.USAGE;
        }
        return runOnPlatform(err);
    }

    private ExitCode runStandalone(PrintStream err) throws IOException {
        Result<EntrySettings> settings = SettingsReader.entry(mSettings);
        if (!settings.isOk()) {
            return settings.fold(f -> FailurePrinter.print(err, f), s -> ExitCode.OK);
        }
        EntryProcess process = new EntryProcess(settings.get(), Telemetry.create());
        process.start();
        Shutdown.onSignal(process::drain, process);
        return ExitCode.OK;
    }

    private ExitCode runOnPlatform(PrintStream err) throws IOException {
        Reload.onSignal(PlatformSettings::read);
        Decision.of("starting").with("role", "entry").info();
        Result<GatewaySettings> settings = PlatformSettings.read();
        if (!settings.isOk()) {
            return settings.fold(f -> FailurePrinter.print(err, f), s -> ExitCode.OK);
        }
        GatewayProcess process = new GatewayProcess(settings.get(), Telemetry.create(), mWallClock);
        process.start();
        Shutdown.onSignal(process::drain, process);
        return ExitCode.OK;
    }
}
