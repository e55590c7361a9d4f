package dev.cactusspan.standin;

import dev.cactusspan.command.Command;
import dev.cactusspan.command.ExitCode;
import dev.cactusspan.standin.hosted.HostedDemo;
import dev.cactusspan.text.JsonText;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Runs training steps and quotes through real processes against an emulated platform. */
public final class PlatformDemoCommand implements Command {
    @Option(name = "--steps", usage = "number of training steps to run")
    private int mSteps = 5;

    @Option(name = "--processes", usage = "number of entry processes to start")
    private int mProcesses = 2;

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws IOException {
        Path folder = Files.createTempDirectory("platform-demo");
        HostedDemo.Outcome outcome = HostedDemo.run(folder, mProcesses, mSteps);
        outcome.violations().forEach(err::println);
        out.println(JsonText.writeString(outcome.counts()));
        return outcome.isCorrect() ? ExitCode.OK : ExitCode.FAILED;
    }
}
