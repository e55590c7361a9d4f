package dev.cactusspan.standin;

import dev.cactusspan.command.DaemonCommand;
import dev.cactusspan.command.ExitCode;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** Runs a model engine stand-in. */
public final class EngineCommand implements DaemonCommand {
    @Option(name = "--port", required = true, usage = "port to listen on")
    private int mPort;

    @Option(name = "--token-us", usage = "microseconds per token")
    private long mTokenMicros = 5_000;

    @Option(name = "--unnamed-versions", usage = "omit the weight version from responses")
    private boolean mIsUnnamed;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) {
        EngineStandIn.start(
                new EngineStandIn.EngineOptions("127.0.0.1", mPort, mTokenMicros, !mIsUnnamed));
        return ExitCode.OK;
    }
}
