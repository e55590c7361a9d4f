package dev.cactusspan.command;

import dev.cactusspan.config.DocumentStore;
import dev.cactusspan.http.HttpClient;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.platform.HttpKeyValueService;
import dev.cactusspan.result.Result;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.kohsuke.args4j.Option;

/** Options of commands that use stored documents. */
abstract class StoreCommand implements Command {
    @Option(
            name = "--platform",
            metaVar = "URL",
            required = true,
            usage = "key-value service of the platform, such as http://10.0.0.1:7000")
    private URI mPlatform;

    @Option(name = "--environment", metaVar = "NAME", required = true, usage = "the environment")
    private String mEnvironment;

    EnvironmentId environment() {
        return EnvironmentId.of(mEnvironment);
    }

    /** Carries out an operation on the store and writes its outcome. */
    <T> ExitCode runWithStore(
            PrintStream err,
            Function<DocumentStore, CompletableFuture<Result<T>>> operation,
            Function<T, ExitCode> onValue)
            throws IOException {
        try (HttpClient http = HttpClient.create()) {
            DocumentStore store = new DocumentStore(new HttpKeyValueService(http, mPlatform));
            return operation
                    .apply(store)
                    .join()
                    .fold(failure -> Reports.failed(err, failure), onValue);
        }
    }
}
