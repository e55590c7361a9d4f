package dev.cactusspan.standin;

import dev.cactusspan.command.CommandLine;
import dev.cactusspan.command.ExitCode;
import java.util.List;

/** Runs the commands of the stand-ins. */
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
                                "keys", "generates keys for a document", KeysCommand::new),
                        new CommandLine.Entry(
                                "demo", "sends the traffic of the demo", DemoCommand::new),
                        new CommandLine.Entry(
                                "platform-demo",
                                "runs traffic through processes against an emulated platform",
                                PlatformDemoCommand::new),
                        new CommandLine.Entry(
                                "soak",
                                "injects faults into processes while checking guarantees",
                                SoakCommand::new),
                        new CommandLine.Entry(
                                "overhead",
                                "measures the overhead of the request path",
                                OverheadCommand::new),
                        new CommandLine.Entry(
                                "slopes",
                                "measures the cost of links to targets",
                                SlopesCommand::new));
        CommandLine line = new CommandLine("cactusspan-standin", commands);
        ExitCode code = line.run(List.of(args), System.out, System.err);
        if (code != ExitCode.OK || !line.isDaemon()) {
            System.exit(code.code());
        }
    }
}
