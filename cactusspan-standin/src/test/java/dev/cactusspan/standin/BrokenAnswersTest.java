package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.standin.hosted.BrokenAnswer;
import dev.cactusspan.standin.hosted.FaultyTargetsTrial;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a real process beside 34 targets that send broken answers, at once and to each request. */
final class BrokenAnswersTest {
    @TempDir private Path mFolder;

    @Test
    void shouldAnswerFromGoodTargetsOnly() throws IOException {
        FaultyTargetsTrial.Outcome outcome =
                FaultyTargetsTrial.run(
                        mFolder,
                        List.of(BrokenAnswer.values()),
                        new FaultyTargetsTrial.Load(80, 8, 4));
        assertThat(outcome.violations(), is(empty()));
        assertThat(outcome.isAlive(), is(true));
        assertThat(outcome.isServedAfter(), is(true));
        assertThat(outcome.untried(), is(empty()));
        assertThat(outcome.counts().get("quotes_answered"), is(outcome.counts().get("quotes")));
        assertThat(outcome.counts().get("samples"), is(64L));
        assertThat(outcome.counts().get("samples_wrong"), is(0L));
    }
}
