package dev.cactusspan.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Finds the command of a command line, parses its options and runs it. */
public final class CommandLine {
    private static final int USAGE_WIDTH = 100;

    private final String mProgram;
    private final List<Entry> mCommands;
    private boolean mIsDaemon;

    /**
     * Creates a command line.
     *
     * @param program name of the program
     * @param commands its commands
     */
    public CommandLine(String program, List<Entry> commands) {
        mProgram = program;
        mCommands = commands;
    }

    /**
     * Runs a command.
     *
     * @param args the arguments
     * @param out where results are written
     * @param err where errors are written
     * @return the exit code
     */
    public ExitCode run(List<String> args, PrintStream out, PrintStream err) {
        if (args.isEmpty() || isHelp(args.get(0))) {
            printUsage(args.isEmpty() ? err : out);
            return args.isEmpty() ? ExitCode.USAGE : ExitCode.OK;
        }
        if (args.get(0).equals("--version")) {
            out.println(mProgram + " " + version());
            return ExitCode.OK;
        }
        Optional<Entry> entry = find(args);
        if (entry.isEmpty()) {
            err.println(mProgram + ": unknown command " + args.get(0) + "; try --help");
            return ExitCode.USAGE;
        }
        List<String> rest = args.subList(entry.get().wordCount(), args.size());
        return run(entry.get(), rest, out, err);
    }

    private ExitCode run(Entry entry, List<String> rest, PrintStream out, PrintStream err) {
        Command command = entry.factory().get();
        CmdLineParser parser =
                new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
        if (rest.stream().anyMatch(CommandLine::isHelp)) {
            out.println(mProgram + " " + entry.name() + ": " + entry.summary());
            parser.printUsage(out);
            return ExitCode.OK;
        }
        if (rest.contains("--version")) {
            out.println(mProgram + " " + version());
            return ExitCode.OK;
        }
        try {
            parser.parseArgument(rest);
            mIsDaemon = command instanceof DaemonCommand;
            return command.run(out, err);
        } catch (CmdLineException e) {
            err.println(mProgram + " " + entry.name() + ": " + e.getMessage() + "; try --help");
            return ExitCode.USAGE;
        } catch (IOException e) {
            err.println(mProgram + " " + entry.name() + ": " + e.getMessage());
            return ExitCode.FAILED;
        } catch (RuntimeException e) {
            err.println(mProgram + " " + entry.name() + ": " + rootMessage(e));
            return ExitCode.FAILED;
        }
    }

    private static String rootMessage(Throwable e) {
        return e.getCause() == null ? String.valueOf(e.getMessage()) : rootMessage(e.getCause());
    }

    private Optional<Entry> find(List<String> args) {
        return mCommands.stream()
                .filter(c -> args.size() >= c.wordCount())
                .filter(c -> c.name().equals(String.join(" ", args.subList(0, c.wordCount()))))
                .findFirst();
    }

    private void printUsage(PrintStream to) {
        to.println("usage: " + mProgram + " COMMAND [OPTIONS]; COMMAND --help shows its options");
        for (Entry command : mCommands) {
            to.printf("  %-16s %s%n", command.name(), command.summary());
        }
        to.println("exit codes: 0 done, 1 refused or failed, 2 wrong command line");
    }

    private static boolean isHelp(String arg) {
        return arg.equals("--help") || arg.equals("-h");
    }

    private static String version() {
        return Optional.ofNullable(CommandLine.class.getPackage().getImplementationVersion())
                .orElse("development");
    }

    /**
     * Tells whether the last command keeps running in its own threads.
     *
     * @return true for a server
     */
    public boolean isDaemon() {
        return mIsDaemon;
    }

    /**
     * A command of the program.
     *
     * @param name its words, separated by a space
     * @param summary what it does
     * @param factory makes it
     */
    public record Entry(String name, String summary, Supplier<Command> factory) {
        int wordCount() {
            return name.split(" ", -1).length;
        }
    }
}
