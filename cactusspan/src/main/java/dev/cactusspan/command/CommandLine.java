package dev.cactusspan.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Selects the command that the arguments name, parses its options and runs it. */
public final class CommandLine {
    private static final int USAGE_WIDTH = 100;

    private final String mProgram;
    private final List<Entry> mCommands;
    private boolean mIsDaemon;

    /**
     * Creates a command line.
     *
     * @param program name of the program
     * @param commands commands of the program
     */
    public CommandLine(String program, List<Entry> commands) {
        mProgram = program;
        mCommands = commands;
    }

    /**
     * Runs the command that the arguments name.
     *
     * @param args the arguments
     * @param out stream for results
     * @param err stream for errors
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
        Optional<Entry> spec = find(args);
        if (spec.isEmpty()) {
            err.println(mProgram + ": unknown command " + args.get(0) + "; try --help");
            return ExitCode.USAGE;
        }
        List<String> arguments = args.subList(spec.get().wordCount(), args.size());
        return run(spec.get(), arguments, out, err);
    }

    private ExitCode run(Entry spec, List<String> arguments, PrintStream out, PrintStream err) {
        Command command = spec.factory().get();
        CmdLineParser parser =
                new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
        if (arguments.stream().anyMatch(CommandLine::isHelp)) {
            out.println(mProgram + " " + spec.name() + ": " + spec.summary());
            parser.printUsage(out);
            return ExitCode.OK;
        }
        if (arguments.contains("--version")) {
            out.println(mProgram + " " + version());
            return ExitCode.OK;
        }
        try {
            parser.parseArgument(arguments);
            mIsDaemon = command instanceof DaemonCommand;
            return command.run(out, err);
        } catch (CmdLineException e) {
            err.println(mProgram + " " + spec.name() + ": " + e.getMessage() + "; try --help");
            return ExitCode.USAGE;
        } catch (IOException e) {
            err.println(mProgram + " " + spec.name() + ": " + e.getMessage());
            return ExitCode.FAILED;
        } catch (RuntimeException e) {
            err.println(mProgram + " " + spec.name() + ": " + rootMessage(e));
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
     * Returns whether the last command continues to run on threads of its own.
     *
     * @return true if it started a server
     */
    public boolean isDaemon() {
        return mIsDaemon;
    }

    /**
     * Name, summary and factory of a command.
     *
     * @param name words of the command, separated by spaces
     * @param summary description for the help text
     * @param factory creates the command
     */
    public record Entry(String name, String summary, Supplier<Command> factory) {
        int wordCount() {
            return name.split(" ", -1).length;
        }
    }
}
