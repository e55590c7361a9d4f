package dev.cactusspan.standin;

import dev.cactusspan.command.Command;
import dev.cactusspan.command.ExitCode;
import dev.cactusspan.text.JsonText;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.Option;

/**
 * Measures three kinds of request, interleaved in one run: requests through the system, requests
 * directly to the target, and requests that the entry rejects because they have no key.
 */
public final class OverheadCommand implements Command {
    private static final long MAX_MICROS = 60_000_000;
    private static final int WARM_UP = 2_000;

    @Option(name = "--entry", required = true, usage = "address of an entry")
    private URI mEntry;

    @Option(name = "--service", required = true, usage = "address of the plain service stand-in")
    private URI mService;

    @Option(name = "--keys", required = true, usage = "keys of the client accounts")
    private Path mKeys;

    @Option(name = "--requests", usage = "number of requests of each kind")
    private int mRequests = 10_000;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        String key =
                JsonText.read(Files.readAllBytes(mKeys), Map.class)
                        .get()
                        .get("lantern-trainer")
                        .toString();
        Map<String, String> headers =
                Map.of("Authorization", "Bearer " + key, "Content-Type", "application/json");
        DemoClient client = new DemoClient();
        URI through = mEntry.resolve("/v1/services/booking/queries");
        URI direct = mService.resolve("/queries");
        Histogram throughMicros = new Histogram(MAX_MICROS, 3);
        Histogram directMicros = new Histogram(MAX_MICROS, 3);
        Histogram refusedMicros = new Histogram(MAX_MICROS, 3);
        int failed = 0;
        for (int i = 0; i < WARM_UP + mRequests; i++) {
            failed += time(client, through, headers, i, throughMicros);
            failed += time(client, direct, Map.of(), i, directMicros);
            // Without a key the entry rejects immediately, so this measures its HTTP server alone.
            int refused = time(client, through, Map.of(), i, refusedMicros);
            failed += 1 - refused;
        }
        out.printf("%-10s %10s %10s%n", "", "p50 us", "p99 us");
        print(out, "through", throughMicros);
        print(out, "direct", directMicros);
        print(out, "refused", refusedMicros);
        out.printf(
                "%-10s %10.2f %10.2f%n",
                "ratio",
                ratio(throughMicros, directMicros, 50),
                ratio(throughMicros, directMicros, 99));
        out.println("unexpected " + failed + " of " + 3 * (WARM_UP + mRequests));
        return failed == 0 ? ExitCode.OK : ExitCode.FAILED;
    }

    private static int time(
            DemoClient client, URI uri, Map<String, String> headers, int number, Histogram micros) {
        long startNs = System.nanoTime();
        boolean isOk = client.send("POST", uri, headers, "query " + number).isOk();
        if (number >= WARM_UP) {
            micros.recordValue((System.nanoTime() - startNs) / 1_000);
        }
        return isOk ? 0 : 1;
    }

    private static void print(PrintStream out, String name, Histogram micros) {
        out.printf(
                "%-10s %10d %10d%n",
                name, micros.getValueAtPercentile(50), micros.getValueAtPercentile(99));
    }

    private static double ratio(Histogram a, Histogram b, double percentile) {
        return (double) a.getValueAtPercentile(percentile) / b.getValueAtPercentile(percentile);
    }
}
