package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.FakeTargets;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Fills all places of the targets, and checks when and in which order waiting items get one. */
final class ItemsWaitInLineTest extends BatchFixture {
    /** Places of the two engines of a node. */
    private static final int PLACES = 8;

    private BatchNode startFull() {
        BatchNode node = node("n1");
        run(100);
        node.manager().submit(BatchNode.batch(ID.value(), 3, 4, mThread.nowMs()), r -> {});
        mThread.runAll();
        run(50);
        assertThat(node.port().sent().size(), is(PLACES));
        return node;
    }

    private void finish(FakeTargets.Sent sent) {
        BatchNode.succeed(sent);
        mThread.runAll();
    }

    @Test
    void shouldSendAWaitingItemWhenARunEndsNotOnATimer() {
        BatchNode node = startFull();
        finish(node.port().sent().get(0));
        assertThat(
                node.port().sent().stream().filter(s -> !isScore(s)).count(),
                is((long) PLACES + 1));
    }

    @Test
    void shouldSendWaitingItemsWhenATargetAppearsNotOnATimer() {
        BatchNode node = startFull();
        node.putEngine("lm-3", "v1", 2);
        mThread.runAll();
        assertThat(node.port().sent().size(), is(PLACES + 2));
    }

    @Test
    void shouldOfferARefusedItemToAnotherTargetAtOnce() {
        BatchNode node = node("n1");
        run(100);
        node.manager().submit(BatchNode.batch(ID.value(), 1, 1, mThread.nowMs()), r -> {});
        mThread.runAll();
        run(50);
        FakeTargets.Sent first = node.port().last();
        first.respond(503, "", true);
        mThread.runAll();
        assertThat(node.port().sent().size(), is(2));
        assertThat(node.port().last().target().id().equals(first.target().id()), is(false));
    }

    /** The slow run is earlier in the dispatch order than those that have no place yet. */
    @Test
    void shouldGiveAPlaceAtAFastTargetToASlowRunBeforeTheItemsBehindIt() {
        BatchNode node = startFull();
        sendEvents(node, "lm-1", 20);
        sendEvents(node, "lm-2", 100);
        FakeTargets.Sent fast = runsAt(node, "lm-1").get(0);
        int sent = node.port().sent().size();
        fast.end();
        mThread.runAll();
        FakeTargets.Sent moved =
                node.port().sent().stream().skip(sent).filter(s -> !isScore(s)).findFirst().get();
        assertThat(moved.target().id().value(), is("lm-1"));
        assertThat(moved.request().resumeAfter(), is(OptionalLong.of(5)));
    }

    private static List<FakeTargets.Sent> runsAt(BatchNode node, String target) {
        return node.port().sent().stream()
                .filter(s -> s.target().id().value().equals(target))
                .toList();
    }

    private void sendEvents(BatchNode node, String target, long intervalMs) {
        List<FakeTargets.Sent> runs = runsAt(node, target);
        runs.forEach(run -> run.startStream(BatchNode.MIN_VERSION));
        for (int id = 1; id <= 5; id++) {
            mThread.advance(intervalMs);
            for (FakeTargets.Sent run : runs) {
                run.event(id, "t" + id);
            }
        }
        mThread.runAll();
    }

    @Test
    void shouldSendNothingOfABatchThatEnded() {
        BatchNode node = startFull();
        node.manager().end(ID, r -> {});
        run(200);
        node.putEngine("lm-3", "v1", 2);
        run(200);
        assertThat(node.port().sent().size(), is(PLACES));
    }

    private static boolean isScore(FakeTargets.Sent sent) {
        return sent.request().id().startsWith("s-");
    }
}
