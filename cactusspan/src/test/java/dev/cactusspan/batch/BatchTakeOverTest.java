package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;

import dev.cactusspan.store.StoredItem;
import org.junit.jupiter.api.Test;

/** Tests the take-over of batches under lost replies of the store. */
final class BatchTakeOverTest extends BatchFixture {
    /** The former sweeper follows no owner keys; only its open write tells it of the batch. */
    @Test
    void shouldRunABatchTakenOverWithALostReplyByAFormerSweeper() {
        BatchNode node = node("n1");
        BatchNode sweeper = node("n2");
        run(100);
        submit(node, 2, 2);
        run(300);
        sweeper.path().loseReplies(BatchStore.OWNER_PREFIX, 1);
        node.kill();
        while (!ownerKeyNames(sweeper)) {
            run(TICK_MS);
        }
        sweeper.path().setCut(true);
        mStore.dropHistory();
        for (int i = 3; sweeper.isSweeper(); i++) {
            node("n" + i);
            run(TICK_MS);
        }
        sweeper.path().setCut(false);
        runWithResponses(3_000);
        assertThat(stored(), hasSize(4));
    }

    private boolean ownerKeyNames(BatchNode node) {
        StoredItem item = mStore.items().get(BatchStore.OWNER_PREFIX + ID.value());
        return BatchStore.parseOwnership(item).get().owner().equals(node.owner());
    }
}
