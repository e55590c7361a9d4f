package dev.cactusspan.command;

import dev.cactusspan.id.Revision;
import dev.cactusspan.result.Result;
import dev.cactusspan.settings.SettingsReader;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Writes the trial document. */
public final class ConfigPutCommand extends StoreCommand {
    @Option(
            name = "--expect",
            metaVar = "N",
            required = true,
            usage = "trial revision to replace, 0 to create")
    private long mExpected;

    @Argument(metaVar = "FILE", required = true, usage = "the document")
    private Path mFile;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        Result<String> text = SettingsReader.text(mFile);
        if (!text.isOk()) {
            return text.fold(f -> Reports.failed(err, f), t -> ExitCode.OK);
        }
        return runWithStore(
                err,
                store -> store.put(environment(), text.get(), Revision.of(mExpected)),
                revision -> {
                    out.println("trial revision " + revision);
                    return ExitCode.OK;
                });
    }
}
