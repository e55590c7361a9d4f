package dev.cactusspan.command;

import java.util.List;
import java.util.function.Supplier;

/** The command line of the product. */
public final class Main {
    private static final List<CommandLine.Entry> COMMANDS =
            List.of(
                    entry("entry", "runs an entry process", EntryCommand::new),
                    entry("storage", "runs the process of a VM with a disk", StorageCommand::new),
                    entry("side", "runs the side process of a target", SideCommand::new),
                    entry("config check", "checks a document", ConfigCheckCommand::new),
                    entry("config show", "shows a stored document", ConfigShowCommand::new),
                    entry(
                            "config diff",
                            "compares a file with the stored document",
                            ConfigDiffCommand::new),
                    entry("config put", "writes the trial document", ConfigPutCommand::new),
                    entry(
                            "config promote",
                            "copies the trial document to production",
                            ConfigPromoteCommand::new),
                    entry("key new", "makes a key and its hash", KeyNewCommand::new),
                    entry("key hash", "hashes a key read from standard input", KeyHashCommand::new),
                    entry("status", "shows the status of a process", StatusCommand::new),
                    entry("settings check", "checks settings", SettingsCheckCommand::new),
                    entry(
                            "warm-up",
                            "loads the classes that the build archives",
                            WarmUpCommand::new));

    private Main() {}

    private static CommandLine.Entry entry(String name, String summary, Supplier<Command> create) {
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
