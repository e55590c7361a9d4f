package dev.cactusspan.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.config.KeyHash;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs commands in the process of the test. */
final class CommandLineTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    private ExitCode run(String... args) {
        return new CommandLine("cactusspan", Main.commands())
                .run(
                        List.of(args),
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8));
    }

    @Test
    void shouldShowHelpAndVersionOfEachCommand() {
        for (CommandLine.Entry command : Main.commands()) {
            String[] words = command.name().split(" ", -1);
            String[] help = Arrays.copyOf(words, words.length + 1);
            help[words.length] = "--help";
            assertThat(command.name(), run(help), is(ExitCode.OK));
            help[words.length] = "--version";
            assertThat(command.name(), run(help), is(ExitCode.OK));
        }
        assertThat(run("--help"), is(ExitCode.OK));
        assertThat(run("--version"), is(ExitCode.OK));
    }

    @Test
    void shouldRefuseAnUnknownCommandAndAMissingOption() {
        assertThat(run("fly"), is(ExitCode.USAGE));
        assertThat(run(), is(ExitCode.USAGE));
        assertThat(run("entry"), is(ExitCode.USAGE));
        assertThat(mErr.toString(StandardCharsets.UTF_8), containsString("--settings"));
    }

    @Test
    void shouldReportAllProblemsOfSettingsByLine(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("entry.json");
        Files.writeString(file, "{\"environment\": \"a\", \"http_port\": 70000, \"color\": 1}");
        assertThat(
                run("settings", "check", "--role", "ENTRY", file.toString()), is(ExitCode.FAILED));
        String err = mErr.toString(StandardCharsets.UTF_8);
        assertThat(err, containsString(file + ": $.http_port"));
        assertThat(err, containsString("color"));
        assertThat(err, containsString("platform_url"));
    }

    @Test
    void shouldCheckADocument() {
        Path sample = Path.of(System.getProperty("project.root", ".."), "samples", "qarthaj.json");
        assertThat(run("config", "check", sample.toString()), is(ExitCode.OK));
        assertThat(run("config", "check", "absent.json"), is(ExitCode.FAILED));
    }

    @Test
    void shouldMakeAKeyAndItsHash() {
        assertThat(run("key", "new"), is(ExitCode.OK));
        String out = mOut.toString(StandardCharsets.UTF_8);
        String key = out.lines().findFirst().orElseThrow().substring("key  ".length());
        assertThat(out, containsString(KeyHash.ofKey(key).text()));
    }
}
