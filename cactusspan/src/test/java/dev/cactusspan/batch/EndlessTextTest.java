package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import dev.cactusspan.fleet.FakeTargets;
import org.junit.jupiter.api.Test;

/** A target sends events without end, each of which may belong to the text. */
final class EndlessTextTest extends BatchFixture {
    /** More events than any output has tokens. */
    private static final int EVENTS = 200_000;

    private void shouldGiveUp(String data) {
        BatchNode node = startWithOneRun();
        FakeTargets.Sent first = node.port().last();
        first.startStream(BatchNode.MIN_VERSION);
        for (int id = 1; id <= EVENTS && !first.isCancelled(); id++) {
            first.event(id, data);
        }
        assertThat(first.isCancelled(), is(true));
        run(1_000);
        FakeTargets.Sent next = node.port().last();
        assertThat(next, is(not(first)));
        assertThat(next.request().resumeAfter().isPresent(), is(false));
    }

    /** Events without data have no length, but take memory. */
    @Test
    void shouldGiveUpATextOfEmptyEvents() {
        shouldGiveUp("");
    }

    @Test
    void shouldGiveUpATextOfLongEvents() {
        shouldGiveUp("t".repeat(1_000));
    }
}
