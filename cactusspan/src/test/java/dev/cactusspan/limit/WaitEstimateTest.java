package dev.cactusspan.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.id.AccountId;
import org.junit.jupiter.api.Test;

/** Refusals of what would be late. */
final class WaitEstimateTest {
    private static final int SLOTS = 10;

    private final WaitEstimate mEstimate = new WaitEstimate();

    private void learn(RequestClass type, long tookMs) {
        for (int i = 0; i < 100; i++) {
            mEstimate.recordDuration(type, tookMs);
        }
    }

    @Test
    void shouldRefuseNothingWhileLittleIsKnown() {
        assertThat(mEstimate.isLate(RequestClass.INTERACTIVE, 1_000, SLOTS, 1), is(false));
    }

    @Test
    void shouldCountTheWaitAndTheRequestItself() {
        learn(RequestClass.INTERACTIVE, 100);
        assertThat(mEstimate.isLate(RequestClass.INTERACTIVE, 10, SLOTS, 250), is(false));
        assertThat(mEstimate.isLate(RequestClass.INTERACTIVE, 20, SLOTS, 250), is(true));
        assertThat(mEstimate.isLate(RequestClass.INTERACTIVE, 0, SLOTS, 50), is(true));
    }

    @Test
    void shouldNotJudgeOneClassByAnother() {
        learn(RequestClass.ROLLOUT, 60_000);
        assertThat(mEstimate.isLate(RequestClass.INTERACTIVE, 10, SLOTS, 250), is(false));
    }

    @Test
    void shouldNotCountTheWholeBacklogOfAFloodAheadOfAnotherAccount() {
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
