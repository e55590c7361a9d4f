package dev.cactusspan.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.id.AccountId;
import org.junit.jupiter.api.Test;

/** Prediction of requests that would miss their deadline. */
final class WaitEstimateTest {
    private static final int SLOTS = 10;

    private final WaitEstimate mEstimate = new WaitEstimate();

    private void recordDurations(RequestClass type, long durationMs) {
        for (int i = 0; i < 100; i++) {
            mEstimate.recordDuration(type, durationMs);
        }
    }

    @Test
    void shouldPredictNoMissWithoutEnoughSamples() {
        assertThat(mEstimate.isLate(RequestClass.INTERACTIVE, 1_000, SLOTS, 1), is(false));
    }

    @Test
    void shouldCountTheWaitAndTheRequestItself() {
        recordDurations(RequestClass.INTERACTIVE, 100);
        assertThat(mEstimate.isLate(RequestClass.INTERACTIVE, 10, SLOTS, 250), is(false));
        assertThat(mEstimate.isLate(RequestClass.INTERACTIVE, 20, SLOTS, 250), is(true));
        assertThat(mEstimate.isLate(RequestClass.INTERACTIVE, 0, SLOTS, 50), is(true));
    }

    @Test
    void shouldEstimateEachClassSeparately() {
        recordDurations(RequestClass.ROLLOUT, 60_000);
        assertThat(mEstimate.isLate(RequestClass.INTERACTIVE, 10, SLOTS, 250), is(false));
    }

    @Test
    void shouldNotCountTheCompleteBacklogOfAFloodAheadOfAnotherAccount() {
        FairQueue<Integer> queue = new FairQueue<>(10_000);
        for (int i = 0; i < 5_000; i++) {
            queue.add(item("flood"));
        }
        assertThat(queue.ahead(item("small")), is(1));
        assertThat(queue.ahead(item("flood")), is(5_000));
    }

    private static QueuedItem<Integer> item(String account) {
        return new QueuedItem<>(
                AccountId.of(account), RequestClass.INTERACTIVE, 1, Long.MAX_VALUE, 0);
    }
}
