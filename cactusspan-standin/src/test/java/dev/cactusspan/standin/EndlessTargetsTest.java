package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.cactusspan.standin.hosted.EndlessAnswer;
import dev.cactusspan.standin.hosted.FaultyTargetsTrial;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a real process with a heap of 96 MB beside 22 targets that send bytes without end. */
final class EndlessTargetsTest {
    /** The smallest memory of a machine that runs such a process. */
    private static final long MAX_MEMORY_KB = 330 << 10;

    @TempDir private Path mFolder;

    @Test
    void shouldServeFromGoodTargetsBesideEndlessOnes() throws IOException {
        FaultyTargetsTrial.Outcome outcome =
                FaultyTargetsTrial.run(
                        mFolder,
                        List.of(EndlessAnswer.values()),
                        new FaultyTargetsTrial.Load(40, 8, 4));
        assertThat(outcome.violations(), is(empty()));
        assertThat(outcome.isAlive(), is(true));
        assertThat(outcome.isServedAfter(), is(true));
        assertThat(outcome.peakMemoryKb(), lessThan(MAX_MEMORY_KB));
        assertThat(outcome.untried(), is(empty()));
        assertThat(outcome.counts().get("quotes_answered"), is(outcome.counts().get("quotes")));
        assertThat(outcome.counts().get("samples"), is(64L));
        assertThat(outcome.counts().get("samples_wrong"), is(0L));
    }
}
