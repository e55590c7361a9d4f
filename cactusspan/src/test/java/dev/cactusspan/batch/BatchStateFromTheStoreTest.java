package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import dev.cactusspan.id.ItemId;
import dev.cactusspan.result.Result;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against batches that a process begins, or leaves alone, against what the store holds. */
final class BatchStateFromTheStoreTest extends BatchFixture {
    private static final int ITEMS = 4;
    private static final int OTHER_BATCHES = 30;

    /** Returns how often texts were asked for. */
    private static long textSends(BatchNode node) {
        return node.port().sent().stream().filter(s -> !s.request().id().startsWith("s-")).count();
    }

    /** Starts a process whose owner keys are listed at intervals, with all items at targets. */
    private BatchNode startWithLateOwnerKeys() {
        node("n1");
        node("n2");
        run(100);
        mStore.setDirect(false);
        run(5_000);
        BatchNode node = mNodes.get(0).isSweeper() ? mNodes.get(1) : mNodes.get(0);
        submit(node, ITEMS, 1);
        run(50);
        return node;
    }

    private BatchNode other(BatchNode node) {
        return mNodes.get(0) == node ? mNodes.get(1) : mNodes.get(0);
    }

    /** Has one item finish, so that its result is due to be appended. */
    private void finishOneItem(BatchNode node) {
        node.port().sent().stream()
                .filter(s -> !s.isCancelled() && !s.request().id().startsWith("s-"))
                .reduce((first, second) -> second)
                .ifPresent(BatchNode::succeed);
        run(TICK_MS * 3);
        node.port().sent().stream()
                .filter(s -> !s.isCancelled() && s.request().id().startsWith("s-"))
                .toList()
                .forEach(BatchNode::succeed);
    }

    @Test
    void shouldRunNoItemAgainAfterAnAppendThatTheEndRefused() {
        BatchNode node = startWithLateOwnerKeys();
        List<Result<Boolean>> ended = new ArrayList<>();
        other(node).manager().end(ID, ended::add);
        mThread.runAll();
        assertThat(ended, is(List.of(Result.of(true))));
        long sends = textSends(node);
        finishOneItem(node);
        run(1_000);
        assertThat(textSends(node), is(sends));
    }

    @Test
    void shouldRunNoItemAgainWhileTheReplyToItsOwnEndIsOpen() {
        BatchNode node = startWithLateOwnerKeys();
        node.path().delayReplies(BatchStore.OWNER_PREFIX, 1, 600);
        node.manager().end(ID, r -> {});
        mThread.runAll();
        long sends = textSends(node);
        finishOneItem(node);
        run(1_000);
        assertThat(textSends(node), is(sends));
    }

    @Test
    void shouldRunNoItemOfABatchThatAnotherProcessHasTakenOver() {
        BatchNode node = startWithLateOwnerKeys();
        KnownOwnership known = node.manager().findOwnership(ID).orElseThrow();
        new BatchStore(mStore)
                .putOwnership(known.ownership().withOwner(other(node).owner()), known.revision())
                .join();
        long sends = textSends(node);
        finishOneItem(node);
        run(1_000);
        assertThat(textSends(node), is(sends));
    }

    @Test
    void shouldRunABatchWhoseLostReplyIsResolvedAfterTheStopBegan() {
        BatchNode node = node("n1");
        run(100);
        node.path().loseReplies(BatchStore.OWNER_PREFIX, 1);
        List<Result<Boolean>> outcome = submit(node, ITEMS, 1);
        node.manager().stopAccepting();
        runWithResponses(5_000);
        assertThat(outcome, is(List.of(Result.of(true))));
        assertThat(stored(), hasSize(ITEMS));
    }

    @Test
    void shouldNotRefuseABatchWhoseWriteIsOpenWhenTheStopBegins() {
        BatchNode node = node("n1");
        run(100);
        node.path().delayReplies(BatchStore.OWNER_PREFIX, 1, 400);
        List<Result<Boolean>> first = submit(node, ITEMS, 1);
        node.manager().stopAccepting();
        List<Result<Boolean>> second = submit(node, ITEMS, 1);
        run(1_000);
        assertThat(first, is(List.of(Result.of(true))));
        assertThat(mStore.items().containsKey(BatchStore.OWNER_PREFIX + ID.value()), is(true));
        assertThat(second, is(List.of(Result.of(true))));
    }

    /** The stop waits for open batches; one whose write is open is not counted. */
    @Test
    void shouldCountABatchWhoseWriteIsOpen() {
        BatchNode node = node("n1");
        run(100);
        node.path().delayReplies(BatchStore.OWNER_PREFIX, 1, 400);
        submit(node, ITEMS, 1);
        node.manager().stopAccepting();
        assertThat(node.manager().openBatches(), not(is(0)));
    }

    @Test
    void shouldAnswerAllSubmissionsAlthoughOneClientFails() {
        BatchNode node = node("n1");
        run(100);
        node.path().delayReplies(BatchStore.OWNER_PREFIX, 1, 100);
        Batch batch = BatchNode.batch(ID.value(), 1, 1, mThread.nowMs());
        List<Result<Boolean>> second = new ArrayList<>();
        node.manager()
                .submit(
                        batch,
                        r -> {
                            throw new IllegalStateException("closed");
                        });
        node.manager().submit(batch, second::add);
        try {
            run(300);
        } catch (IllegalStateException e) {
            run(300);
        }
        assertThat(second, hasSize(1));
    }

    @Test
    void shouldLoseNoResultWhenOwnershipIsLostAndWonBack() {
        BatchNode node = startWithLateOwnerKeys();
        KnownOwnership known = node.manager().findOwnership(ID).orElseThrow();
        BatchStore store = new BatchStore(mStore);
        long revision =
                store.putOwnership(known.ownership().withOwner("gone/1"), known.revision())
                        .join()
                        .get();
        finishOneItem(node);
        run(200);
        store.append(ID, revision, 0, List.of(ItemResult.abandoned(ItemId.of("b-0")))).join();
        mStore.setDirect(true);
        runWithResponses(4_000);
        assertThat(stored(), hasSize(ITEMS));
    }

    /**
     * Returns a process that follows no owner keys until it has a batch, and then reads them in
     * several pages.
     */
    private BatchNode startWithoutOwnerKeys() {
        node("n1");
        node("n2");
        for (int i = 0; i < OTHER_BATCHES; i++) {
            mStore.put(BatchStore.OWNER_PREFIX + "a" + i, new byte[0]);
        }
        run(500);
        return mNodes.get(0).isSweeper() ? mNodes.get(1) : mNodes.get(0);
    }

    private void endAt(BatchNode node) {
        List<Result<Boolean>> ended = new ArrayList<>();
        node.manager().end(ID, ended::add);
        mThread.runAll();
        assertThat(ended, is(List.of(Result.of(true))));
    }

    @Test
    void shouldRunNoItemOfABatchThatEndedBeforeTheReplyToItsWriteCame() {
        BatchNode node = startWithoutOwnerKeys();
        node.path().delayReplies(BatchStore.OWNER_PREFIX, 1, 800);
        submit(node, ITEMS, 1);
        run(50);
        endAt(other(node));
        run(2_000);
        assertThat(textSends(node), is(0L));
    }

    /** The owner key is known from a read; the batch is read much later. */
    @Test
    void shouldRunNoItemOfABatchThatEndedLongBeforeItWasLoaded() {
        BatchNode node = startWithoutOwnerKeys();
        node.path().loseReplies(BatchStore.OWNER_PREFIX, 1);
        submit(node, ITEMS, 1);
        while (node.manager().findOwnership(ID).isEmpty()) {
            run(TICK_MS);
        }
        node.path().setCut(true);
        run(200);
        assertThat(textSends(node), is(0L));
        endAt(other(node));
        run(8_000);
        node.path().setCut(false);
        run(2_000);
        assertThat(textSends(node), is(0L));
    }
}
