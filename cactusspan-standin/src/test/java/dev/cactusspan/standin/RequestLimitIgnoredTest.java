package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.standin.hosted.RequestLimitTrial;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Targets that named a request limit got the same share of the requests as all others. */
final class RequestLimitIgnoredTest {
    @TempDir private Path mFolder;

    @Test
    void shouldKeepRequestLimitsOverAllProcesses() throws IOException {
        RequestLimitTrial.Outcome outcome = RequestLimitTrial.run(mFolder);
        assertThat(outcome.counts().toString(), outcome.violations(), is(empty()));
        assertThat(
                outcome.counts().toString(),
                outcome.counts().get("quotes_answered"),
                is(outcome.counts().get("quotes")));
    }
}
