package dev.cactusspan.standin;

import dev.cactusspan.command.CommandLine;
import dev.cactusspan.command.ExitCode;
import java.util.List;

/** The command line of the stand-ins. */
public final class Main {
    private Main() {}

    /**
     * Runs a command.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        List<CommandLine.Entry> commands =
                List.of(
                        new CommandLine.Entry(
                                "platform", "runs a platform stand-in", PlatformCommand::new),
                        new CommandLine.Entry(
                                "engine", "runs a model engine stand-in", EngineCommand::new),
                        new CommandLine.Entry(
                                "service", "runs a plain service stand-in", ServiceCommand::new),
                        new CommandLine.Entry(
                                "keys", "makes keys for a document", KeysCommand::new),
                        new CommandLine.Entry(
                                "demo", "sends the traffic of the demo", DemoCommand::new),
                        new CommandLine.Entry(
                                "platform-demo",
                                "plays traffic over processes before an emulated platform",
                                PlatformDemoCommand::new),
                        new CommandLine.Entry(
                                "soak",
                                "injects faults into processes while it checks promises",
                                SoakCommand::new),
                        new CommandLine.Entry(
                                "overhead", "measures the path's overhead", OverheadCommand::new),
                        new CommandLine.Entry(
                                "slopes",
                                "measures what links to targets cost",
                                SlopesCommand::new));
        CommandLine line = new CommandLine("cactusspan-standin", commands);
        ExitCode code = line.run(List.of(args), System.out, System.err);
        if (code != ExitCode.OK || !line.isDaemon()) {
            System.exit(code.code());
        }
    }
}
