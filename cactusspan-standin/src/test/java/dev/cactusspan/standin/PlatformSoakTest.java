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

/**
 * Runs real processes against the emulated platform: once without faults, and with seeds of the
 * fault soak test.
 */
final class PlatformSoakTest {
    private static final long FAULTS_MS = 6_000;

    /** Enough steps for each target to receive several orders. */
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
