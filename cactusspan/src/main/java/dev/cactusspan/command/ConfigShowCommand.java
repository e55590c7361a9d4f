package dev.cactusspan.command;

import dev.cactusspan.config.Stage;
import java.io.IOException;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** Shows a stored document; its revision comes first, as a comment. */
public final class ConfigShowCommand extends StoreCommand {
    @Option(name = "--stage", usage = "the stage, TRIAL if not given")
    private Stage mStage = Stage.TRIAL;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        return runWithStore(
                err,
                store -> store.get(environment(), mStage),
                stored -> {
                    out.println("// revision " + stored.revision());
                    out.print(stored.text());
                    return ExitCode.OK;
                });
    }
}
