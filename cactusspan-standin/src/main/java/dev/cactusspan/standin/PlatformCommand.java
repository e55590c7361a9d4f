package dev.cactusspan.standin;

import dev.cactusspan.command.DaemonCommand;
import dev.cactusspan.command.ExitCode;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** Runs a platform stand-in. */
public final class PlatformCommand implements DaemonCommand {
    @Option(name = "--port", required = true, usage = "port to listen on")
    private int mPort;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) {
        PlatformStandIn.start("127.0.0.1", mPort);
        return ExitCode.OK;
    }
}
