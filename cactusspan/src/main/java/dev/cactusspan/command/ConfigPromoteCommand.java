package dev.cactusspan.command;

import dev.cactusspan.id.Revision;
import java.io.IOException;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** Copies the trial document to production. */
public final class ConfigPromoteCommand extends StoreCommand {
    @Option(name = "--trial", metaVar = "N", required = true, usage = "trial revision to promote")
    private long mTrial;

    @Option(
            name = "--expect",
            metaVar = "N",
            required = true,
            usage = "production revision to replace, 0 to create")
    private long mExpected;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        return runWithStore(
                err,
                store -> store.promote(environment(), Revision.of(mTrial), Revision.of(mExpected)),
                revision -> {
                    out.println("production revision " + revision);
                    return ExitCode.OK;
                });
    }
}
