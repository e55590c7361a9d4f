package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.standin.hosted.FaultSoak;
import dev.cactusspan.standin.hosted.HostedDemo;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Real processes before the emulated platform: a calm stretch, and seeds of the fault soak. */
final class PlatformSoakTest {
    private static final long FAULTS_MS = 6_000;

    /** Each target takes several orders in so many steps. */
    private static final int STEPS = 5;

    @TempDir private Path mFolder;

    @Test
    void shouldServeWithoutFaults() throws IOException {
        HostedDemo.Outcome outcome = HostedDemo.run(mFolder, 2, STEPS);
        assertThat(outcome.violations(), is(empty()));
        assertThat(outcome.counts().toString(), outcome.isCorrect(), is(true));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void shouldKeepItsGuaranteesUnderFaults(long seed) throws IOException {
        FaultSoak.Outcome outcome = FaultSoak.run(mFolder, seed, FAULTS_MS);
        assertThat(outcome.faults().toString(), outcome.violations(), is(empty()));
    }
}
