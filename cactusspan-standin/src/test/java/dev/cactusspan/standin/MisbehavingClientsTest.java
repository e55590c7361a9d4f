package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.cactusspan.standin.hosted.MisbehavingClientsTrial;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a real entry with the deploy file's command beside crowds that stay inside no manners. */
final class MisbehavingClientsTest {
    /** The smallest memory of a machine that runs such a process. */
    private static final long MAX_MEMORY_KB = 330 << 10;

    @TempDir private Path mFolder;

    @Test
    void shouldAnswerOrdinaryCallersBesideEachCrowd() throws IOException {
        MisbehavingClientsTrial.Outcome outcome = MisbehavingClientsTrial.run(mFolder);
        assertThat(outcome.isAlive(), is(true));
        assertThat(outcome.unanswered(), is(empty()));
        assertThat(outcome.missedProbes(), is(empty()));
        assertThat(outcome.largeStatus(), is(List.of(200, 200)));
        assertThat(outcome.violations(), is(empty()));
        assertThat(outcome.peakMemoryKb(), lessThan(MAX_MEMORY_KB));
        assertThat(outcome.counts().get("samples"), is(16L));
        assertThat(outcome.counts().get("samples_wrong"), is(0L));
    }
}
