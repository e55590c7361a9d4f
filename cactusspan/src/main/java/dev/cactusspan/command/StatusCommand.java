package dev.cactusspan.command;

import dev.cactusspan.http.HttpClient;
import dev.cactusspan.http.HttpRequest;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import org.kohsuke.args4j.Option;

/** Shows the status of a process. */
public final class StatusCommand implements Command {
    private static final long TIMEOUT_MS = 3_000;
    private static final int MAX_BYTES = 1 << 20;

    @Option(
            name = "--admin",
            metaVar = "URL",
            required = true,
            usage = "admin address of the process, such as http://10.0.0.1:7002")
    private URI mAdmin;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        try (HttpClient http = HttpClient.create()) {
            return http.collect(HttpRequest.get(mAdmin, "/status", TIMEOUT_MS), MAX_BYTES)
                    .join()
                    .fold(
                            failure -> Reports.failed(err, failure),
                            answer -> {
                                out.println(answer.text());
                                return answer.isSuccess() ? ExitCode.OK : ExitCode.FAILED;
                            });
        }
    }
}
