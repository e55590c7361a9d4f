package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.standin.hosted.LeavingTargetTrial;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Requests reached a target for seconds after it had said in a response that it leaves. */
final class LeavingTargetGotRequestsTest {
    /** One whose response tells the process, and one that it may have given up before. */
    private static final int MAX_REQUESTS = 2 * LeavingTargetTrial.NODES;

    @TempDir private Path mFolder;

    @Test
    void shouldLearnInEachProcessThatATargetLeaves() throws IOException {
        LeavingTargetTrial.Outcome outcome = LeavingTargetTrial.run(mFolder);
        assertThat(
                outcome.toString(),
                outcome.requestsWhileLeaving(),
                is(lessThanOrEqualTo(MAX_REQUESTS)));
        assertThat(
                outcome.toString(),
                outcome.counts().get("quotes_answered"),
                is(outcome.counts().get("quotes")));
    }
}
