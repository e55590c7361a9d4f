package dev.cactusspan.command;

import dev.cactusspan.config.DocumentReader;
import dev.cactusspan.settings.SettingsReader;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;

/** Validates a document. */
public final class ConfigCheckCommand implements Command {
    @Argument(metaVar = "FILE", required = true, usage = "the document")
    private Path mFile;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) {
        return SettingsReader.text(mFile)
                .flatMap(text -> DocumentReader.read(mFile.toString(), text))
                .fold(
                        failure -> FailurePrinter.print(err, failure),
                        document -> {
                            out.println(mFile + ": document of " + document.environment());
                            return ExitCode.OK;
                        });
    }
}
