package dev.cactusspan.command;

import com.fasterxml.jackson.databind.JsonNode;
import dev.cactusspan.config.DocumentDiff;
import dev.cactusspan.config.Stage;
import dev.cactusspan.result.Result;
import dev.cactusspan.settings.SettingsReader;
import dev.cactusspan.text.JsonText;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Compares a file with the stored document, by path. */
public final class ConfigDiffCommand extends StoreCommand {
    @Option(name = "--stage", usage = "the stage, TRIAL if not given")
    private Stage mStage = Stage.TRIAL;

    @Argument(metaVar = "FILE", required = true, usage = "the document")
    private Path mFile;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        Result<JsonNode> file =
                SettingsReader.text(mFile).flatMap(text -> JsonText.parse(mFile.toString(), text));
        if (!file.isOk()) {
            return file.fold(f -> Reports.failed(err, f), t -> ExitCode.OK);
        }
        return runWithStore(
                err,
                store ->
                        store.get(environment(), mStage)
                                .thenApply(r -> r.flatMap(s -> JsonText.parse("stored", s.text()))),
                stored -> {
                    DocumentDiff.lines(stored, file.get()).forEach(out::println);
                    return ExitCode.OK;
                });
    }
}
