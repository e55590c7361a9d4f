package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.FakeTargets;
import org.junit.jupiter.api.Test;

/**
 * Cuts the run of a text between its last event and the end of its stream. The target that resumes
 * it has nothing to generate, and names no weights.
 */
final class TextCutAfterItsLastEventTest extends BatchFixture {
    private BatchNode cutAfterTheLastEvent() {
        BatchNode node = startWithOneRun();
        FakeTargets.Sent first = node.port().last();
        first.startStream(BatchNode.MIN_VERSION);
        first.events(3);
        first.disconnect();
        run(600);
        return node;
    }

    private static long textSends(BatchNode node) {
        return node.port().sent().stream().filter(s -> !s.request().id().startsWith("s-")).count();
    }

    @Test
    void shouldTakeTheTextForWholeAndScoreIt() {
        BatchNode node = cutAfterTheLastEvent();
        FakeTargets.Sent resumed = node.port().last();
        resumed.startStreamWithoutVersion();
        resumed.end();
        run(100);
        assertThat(textSends(node), is(2L));
        node.port().last().succeed();
        run(1_000);
        assertThat(stored().size(), is(1));
        assertThat(stored().get(0).text(), is("t1\nt2\nt3"));
        assertThat(stored().get(0).versions().size(), is(1));
    }

    @Test
    void shouldNotAppendAnEventWithoutKnownWeights() {
        BatchNode node = cutAfterTheLastEvent();
        FakeTargets.Sent resumed = node.port().last();
        resumed.startStreamWithoutVersion();
        resumed.event(4, "t4");
        run(600);
        assertThat(textSends(node), is(3L));
        assertThat(node.port().last().request().resumeAfter().getAsLong(), is(3L));
    }
}
