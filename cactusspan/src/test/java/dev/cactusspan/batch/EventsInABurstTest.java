package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;

import dev.cactusspan.fleet.FakeTargets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Events that had been held up arrived together, and made a target seem slow from then on. */
final class EventsInABurstTest extends BatchFixture {
    private static final int SLOTS = 8;
    private static final int HELD_UP_EVENTS = 25;
    private static final int EVENTS = 60;
    private static final long INTERVAL_MS = 40;

    private BatchNode startFull() {
        BatchNode node = BatchNode.learning("n1", mStore, mThread);
        mNodes.add(node);
        node.putEngine("lm-1", "v1", SLOTS);
        node.putEngine("lm-2", "v1", 0);
        run(100);
        node.manager().submit(BatchNode.batch(ID.value(), 4, 4, mThread.nowMs()), r -> {});
        mThread.runAll();
        run(50);
        assertThat(texts(node), hasSize(SLOTS));
        return node;
    }

    private static List<FakeTargets.Sent> texts(BatchNode node) {
        return node.port().sent().stream()
                .filter(sent -> !sent.request().id().startsWith("s-"))
                .toList();
    }

    private void sendEvents(List<FakeTargets.Sent> texts, int first, int last) {
        for (int id = first; id <= last; id++) {
            run(INTERVAL_MS);
            for (FakeTargets.Sent text : texts) {
                text.event(id, "t" + id);
            }
        }
    }

    private static void sendAtOnce(List<FakeTargets.Sent> texts, int first, int last) {
        for (FakeTargets.Sent text : texts) {
            for (int id = first; id <= last; id++) {
                text.event(id, "t" + id);
            }
        }
    }

    private void finish(List<FakeTargets.Sent> texts) {
        texts.forEach(FakeTargets.Sent::end);
        run(200);
    }

    @Test
    void shouldUseAllPlacesAfterFirstEventsThatCameAtOnce() {
        BatchNode node = startFull();
        List<FakeTargets.Sent> texts = texts(node);
        mThread.advance(HELD_UP_EVENTS * INTERVAL_MS);
        texts.forEach(text -> text.startStream(BatchNode.MIN_VERSION));
        sendAtOnce(texts, 1, HELD_UP_EVENTS);
        sendEvents(texts, HELD_UP_EVENTS + 1, EVENTS);
        finish(texts);
        assertThat(texts(node), hasSize(2 * SLOTS));
    }

    @Test
    void shouldUseAllPlacesAfterLaterEventsThatCameAtOnce() {
        BatchNode node = startFull();
        List<FakeTargets.Sent> texts = texts(node);
        texts.forEach(text -> text.startStream(BatchNode.MIN_VERSION));
        sendEvents(texts, 1, HELD_UP_EVENTS);
        mThread.advance(HELD_UP_EVENTS * INTERVAL_MS);
        sendAtOnce(texts, HELD_UP_EVENTS + 1, 2 * HELD_UP_EVENTS);
        sendEvents(texts, 2 * HELD_UP_EVENTS + 1, EVENTS);
        finish(texts);
        assertThat(texts(node), hasSize(2 * SLOTS));
    }
}
