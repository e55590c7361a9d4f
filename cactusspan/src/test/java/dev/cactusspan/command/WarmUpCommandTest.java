package dev.cactusspan.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.emptyString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The run of the build that loads classes. */
final class WarmUpCommandTest {

    @Test
    void shouldExitWithoutAPlatform() {
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        CommandLine line = new CommandLine("cactusspan", Main.commands());
        ExitCode code =
                line.run(
                        List.of("warm-up"),
                        System.out,
                        new PrintStream(errors, true, StandardCharsets.UTF_8));
        assertThat(errors.toString(StandardCharsets.UTF_8), is(emptyString()));
        assertThat(code, is(ExitCode.OK));
        assertThat(line.isDaemon(), is(false));
    }
}
