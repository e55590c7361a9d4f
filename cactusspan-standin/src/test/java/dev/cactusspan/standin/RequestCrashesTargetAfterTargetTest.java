package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.standin.hosted.CrashingRequestTrial;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One request that came again at any process crashed all targets of its service each time. */
final class RequestCrashesTargetAfterTargetTest {
    /** Three crashes, and three retries. */
    private static final int MAX_CRASHES = 6;

    @TempDir private Path mFolder;

    @Test
    void shouldStopSendingARequestThatCrashesTargets() throws IOException {
        CrashingRequestTrial.Outcome outcome = CrashingRequestTrial.run(mFolder);
        assertThat(
                outcome.toString(), outcome.crashes(), hasSize(is(lessThanOrEqualTo(MAX_CRASHES))));
        assertThat(outcome.toString(), outcome.violations(), is(empty()));
        assertThat(
                outcome.toString(),
                outcome.counts().get("quotes_answered"),
                is(outcome.counts().get("quotes")));
    }
}
