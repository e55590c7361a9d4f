package dev.cactusspan.command;

import java.util.List;
import java.util.function.Supplier;

/** The command line of the product. */
public final class Main {
    private static final List<CommandLine.Entry> COMMANDS =
            List.of(
                    command("entry", "runs an entry process", EntryCommand::new),
                    command("storage", "runs the process of a VM with a disk", StorageCommand::new),
                    command("side", "runs the side process of a target", SideCommand::new),
                    command("config check", "checks a document", ConfigCheckCommand::new),
                    command("config show", "shows a stored document", ConfigShowCommand::new),
                    command(
                            "config diff",
                            "compares a file with the stored document",
                            ConfigDiffCommand::new),
                    command("config put", "writes the trial document", ConfigPutCommand::new),
                    command(
                            "config promote",
                            "copies the trial document to production",
                            ConfigPromoteCommand::new),
                    command("key new", "makes a key and its hash", KeyNewCommand::new),
                    command(
                            "key hash",
                            "hashes a key read from standard input",
                            KeyHashCommand::new),
                    command("status", "shows the status of a process", StatusCommand::new),
                    command("settings check", "checks settings", SettingsCheckCommand::new),
                    command(
                            "warm-up",
                            "loads the classes that the build archives",
                            WarmUpCommand::new));

    private Main() {}

    private static CommandLine.Entry command(
            String name, String summary, Supplier<Command> create) {
        return new CommandLine.Entry(name, summary, create);
    }

    /**
     * Runs a command.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        CommandLine line = new CommandLine("cactusspan", COMMANDS);
        ExitCode code = line.run(List.of(args), System.out, System.err);
        if (code != ExitCode.OK || !line.isDaemon()) {
            System.exit(code.code());
        }
    }

    /**
     * Lists the commands.
     *
     * @return name, summary and factory of each
     */
    public static List<CommandLine.Entry> commands() {
        return COMMANDS;
    }
}
