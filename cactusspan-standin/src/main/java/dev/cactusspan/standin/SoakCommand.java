package dev.cactusspan.standin;

import dev.cactusspan.command.Command;
import dev.cactusspan.command.ExitCode;
import dev.cactusspan.standin.hosted.FaultSoak;
import dev.cactusspan.text.JsonText;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Runs the fault soak test for a series of seeds. */
public final class SoakCommand implements Command {
    @Option(name = "--seed", usage = "first seed")
    private long mSeed = 1;

    @Option(name = "--seeds", usage = "number of seeds to run")
    private int mSeeds = 1;

    @Option(name = "--seconds", usage = "time during which faults are injected for each seed")
    private int mSeconds = 15;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        int failed = 0;
        for (long seed = mSeed; seed < mSeed + mSeeds; seed++) {
            Path folder = Files.createTempDirectory("soak-" + seed + "-");
            FaultSoak.Outcome outcome = FaultSoak.run(folder, seed, mSeconds * 1_000L);
            boolean hasPassed = outcome.violations().isEmpty();
            out.printf(
                    "seed %d: %s %s%n",
                    seed, hasPassed ? "kept" : "BROKEN", JsonText.writeString(outcome.counts()));
            if (!hasPassed) {
                failed++;
                err.println("logs in " + folder);
                outcome.faults().forEach(err::println);
                outcome.violations().forEach(err::println);
            }
        }
        out.printf("%d seeds kept, %d broken%n", mSeeds - failed, failed);
        return failed == 0 ? ExitCode.OK : ExitCode.FAILED;
    }
}
