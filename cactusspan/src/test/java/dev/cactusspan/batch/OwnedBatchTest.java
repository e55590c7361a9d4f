package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what an owner keeps of a batch after it has read the store again. */
final class OwnedBatchTest {
    private static final long NOW_MS = 1_000;
    private static final int GROUP_SIZE = 4;
    private static final int ITEMS = 2 * GROUP_SIZE;

    private final Batch mBatch = BatchNode.batch("b", 2, GROUP_SIZE, NOW_MS);
    private final OwnedBatch mOwned = new OwnedBatch(StoredBatch.ofNew(mBatch), 1, NOW_MS);

    private static ItemResult result(ItemRun run) {
        return ItemResult.abandoned(run.item().id());
    }

    private void reload(List<ItemResult> results) {
        mOwned.startAppend(1);
        mOwned.onReloaded(new StoredBatch(mBatch, results, List.of()));
    }

    /** Guards against items that are listed a second time after their run has ended. */
    @Test
    void shouldStopTheRunsOfItemsThatTheStoreLists() {
        ItemRun listed = mOwned.runs().get(0);
        reload(List.of(result(listed)));
        assertThat(mOwned.runs(), hasSize(ITEMS - 1));
        assertThat(mOwned.runs().contains(listed), is(false));
        assertThat(listed.isWaiting(), is(false));
    }

    @Test
    void shouldTakeNoResultOfARunThatWasStopped() {
        ItemRun listed = mOwned.runs().get(0);
        reload(List.of(result(listed)));
        mOwned.finish(listed, result(listed), NOW_MS);
        assertThat(mOwned.startAppend(Integer.MAX_VALUE), is(empty()));
    }

    /** A group that is complete in the store does not keep the rest of it from being appended. */
    @Test
    void shouldCountAGroupCompleteWhoseOtherItemsTheStoreLists() {
        List<ItemRun> runs =
                mOwned.runs().stream().filter(r -> r.item().group().equals("g0")).toList();
        reload(runs.subList(1, GROUP_SIZE).stream().map(OwnedBatchTest::result).toList());
        mOwned.finish(runs.get(0), result(runs.get(0)), NOW_MS);
        assertThat(mOwned.isAppendDue(NOW_MS, Long.MAX_VALUE), is(true));
    }
}
