package dev.cactusspan.command;

import dev.cactusspan.gateway.StorageProcess;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.Result;
import dev.cactusspan.settings.GatewaySettings;
import java.io.IOException;
import java.io.PrintStream;

/** Runs the process of a VM with a disk until it receives SIGTERM. */
public final class StorageCommand implements DaemonCommand {

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        Reload.onSignal(PlatformSettings::read);
        Decision.of("starting").with("role", "storage").info();
        Result<GatewaySettings> settings = PlatformSettings.read();
        if (!settings.isOk()) {
            return settings.fold(f -> FailurePrinter.print(err, f), s -> ExitCode.OK);
        }
        StorageProcess process = new StorageProcess(settings.get(), Telemetry.create());
        process.start();
        Shutdown.onSignal(() -> {}, process);
        return ExitCode.OK;
    }
}
