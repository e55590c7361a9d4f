package dev.cactusspan.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.standin.hosted.HeldBackEntryTrial;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A process without processor time decided on what had been replaced seconds before. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
final class HeldBackEntryTest {
    @TempDir private Path mFolder;

    @Test
    void shouldNotServeAKeyThatWasWithdrawnWhileItWasHeldBack() throws IOException {
        HeldBackEntryTrial.Outcome outcome = HeldBackEntryTrial.run(mFolder);
        assertThat(outcome.toString(), outcome.isServedBefore(), is(true));
        assertThat(outcome.toString(), outcome.wronglyServed(), is(0L));
    }
}
