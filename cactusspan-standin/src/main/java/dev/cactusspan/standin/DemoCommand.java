package dev.cactusspan.standin;

import dev.cactusspan.command.Command;
import dev.cactusspan.command.ExitCode;
import dev.cactusspan.text.JsonText;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Option;

/** Sends callers' traffic and a trainer's step, then verifies the results. */
public final class DemoCommand implements Command {
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long POLL_MS = 100;

    @Option(name = "--entry", required = true, usage = "address of an entry; may be repeated")
    private List<URI> mEntries = new ArrayList<>();

    @Option(name = "--admin", required = true, usage = "admin address of an entry")
    private List<URI> mAdmins = new ArrayList<>();

    @Option(name = "--service", required = true, usage = "address of the plain service stand-in")
    private URI mService;

    @Option(name = "--keys", required = true, usage = "keys of the client accounts")
    private Path mKeys;

    @Option(name = "--targets", required = true, usage = "number of targets to wait for")
    private int mTargets;

    @Option(name = "--requests", usage = "number of requests that callers send")
    private int mRequests = 2_000;

    @Option(name = "--groups", usage = "number of groups in the trainer's step")
    private int mGroups = 32;

    @Option(name = "--group-samples", usage = "number of samples per group")
    private int mGroupSamples = 8;

    @Override
    @SuppressWarnings("unchecked")
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        Map<String, String> keys = JsonText.read(Files.readAllBytes(mKeys), Map.class).get();
        DemoClient client = new DemoClient();
        if (!awaitReady(client)) {
            err.println("demo: entries are not ready within " + READY_TIMEOUT_MS + " ms");
            return ExitCode.FAILED;
        }
        DemoTrainer trainer =
                new DemoTrainer(
                        client,
                        mEntries.get(0),
                        keys.get("lantern-trainer"),
                        mGroups,
                        mGroupSamples);
        DemoCallers callers = new DemoCallers(client, mEntries, keys, mRequests);
        Thread training = new Thread(trainer, "demo-trainer");
        training.start();
        callers.run();
        try {
            training.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Map<?, ?> runs =
                JsonText.read(
                                client.send("GET", mService.resolve("/runs"), Map.of(), null)
                                        .body(),
                                Map.class)
                        .get();
        DemoReport report = DemoReport.of(callers, trainer, runs);
        report.print(out);
        return report.isCorrect() ? ExitCode.OK : ExitCode.FAILED;
    }

    private boolean awaitReady(DemoClient client) {
        long untilMs = System.currentTimeMillis() + READY_TIMEOUT_MS;
        while (System.currentTimeMillis() < untilMs) {
            if (mAdmins.stream().allMatch(admin -> isReady(client, admin))) {
                return true;
            }
            try {
                Thread.sleep(POLL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return false;
    }

    private boolean isReady(DemoClient client, URI admin) {
        boolean isHealthy = client.send("GET", admin.resolve("/readyz"), Map.of(), null).isOk();
        if (!isHealthy) {
            return false;
        }
        DemoClient.Reply status = client.send("GET", admin.resolve("/status"), Map.of(), null);
        return status.json().path("targets").asInt() >= mTargets;
    }
}
