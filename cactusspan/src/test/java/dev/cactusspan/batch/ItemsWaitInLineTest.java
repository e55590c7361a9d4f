package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.fleet.FakeTargets;
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
