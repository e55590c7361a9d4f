package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import dev.cactusspan.standin.hosted.LeavingReadersTrial;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients that wait for results and leave keep no place at a real entry. */
final class LeavingReadersTest {
    /** Connections that may stay, such as those between processes: half of the clients. */
    private static final long MAX_LEFT = 30;

    @TempDir private Path mFolder;

    @Test
    void shouldCloseTheConnectionsOfClientsThatLeaveWhileTheyWait() throws IOException {
        LeavingReadersTrial.Outcome outcome = LeavingReadersTrial.run(mFolder);
        assertThat(
                outcome.toString(),
                outcome.descriptorsAfter() - outcome.descriptorsBefore(),
                lessThan(MAX_LEFT));
    }
}
