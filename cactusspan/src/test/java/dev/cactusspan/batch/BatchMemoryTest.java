package dev.cactusspan.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.cactusspan.id.BatchId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that a process lets batches go, and that no append exceeds what the store takes. */
final class BatchMemoryTest extends BatchFixture {
    private static final int BATCHES = 1_000;

    /** The store's limit on a value, in bytes of base64. */
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private final Random mRandom = new Random(1);

    private static String id(int number) {
        return "b" + number;
    }

    private void submit(BatchNode node, String id, int items) {
        node.manager().submit(BatchNode.batch(id, 1, items, mThread.nowMs()), r -> {});
        mThread.runAll();
    }

    @Test
    void shouldKeepNoMoreAfterAThousandEndedBatches() {
        BatchNode node = node("n1");
        run(100);
        int mostKept = 0;
        for (int i = 0; i < BATCHES; i++) {
            submit(node, id(i), 1);
            runWithResponses(TICK_MS * 5);
            node.manager().end(BatchId.of(id(i)), r -> {});
            mThread.runAll();
            mThread.advance(100);
            mostKept = Math.max(mostKept, node.manager().keptCount());
        }
        assertThat(mostKept, lessThan(KnownBatches.MAX_ENDED + 100));
        mThread.advance(10_000);
        run(TICK_MS);
        assertThat(node.manager().keptCount(), is(KnownBatches.MAX_ENDED));
    }

    /** A batch that its trainer never ends leaves once it is neither run nor read often. */
    @Test
    void shouldLetGoOfABatchThatIsNeverEnded() {
        BatchNode node = node("n1");
        run(100);
        submit(node, ID.value(), 2);
        runWithResponses(2_000);
        assertThat(stored(), hasSize(2));
        mThread.advance(BatchNode.batch(ID.value(), 1, 1, 0).retentionMs() + 1_000);
        run(200);
        assertThat(node.manager().keptCount(), is(0));
        assertThat(node.manager().readResults(ID, 0, 0, view -> {}), is(false));
    }

    /** Results that waited for the store are more than one value can hold. */
    @Test
    void shouldSplitWhatIsAppendedAfterAnOutage() {
        BatchNode node = node("n1");
        node.putEngine("lm-3", "v1", 64);
        run(100);
        submit(node, ID.value(), 60);
        run(100);
        mStore.setDown(true);
        for (int i = 0; i < 100; i++) {
            run(TICK_MS);
            node.respondToAll(
                    sent -> {
                        if (sent.request().id().startsWith("s-")) {
                            sent.succeed();
                            return;
                        }
                        sent.startStream(BatchNode.MIN_VERSION);
                        sent.event(1, randomText());
                        sent.end();
                    });
        }
        mStore.setDown(false);
        runWithResponses(10_000);
        assertThat(stored(), hasSize(60));
        List<Integer> sizes = new ArrayList<>();
        mStore.items().forEach((key, item) -> sizes.add(item.value().length * 4 / 3));
        assertThat(sizes.stream().mapToInt(s -> s).max().orElse(0), lessThan(MAX_VALUE_BYTES));
    }

    /** Returns a text that can hardly be compressed. */
    private String randomText() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 40_000; i++) {
            text.append((char) ('0' + mRandom.nextInt(74)));
        }
        return text.toString();
    }
}
