package dev.cactusspan.sample;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.weight.VersionSpan;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the deliveries of a step, one decision at a time. */
final class StepSchedulerTest {
    private static final WeightVersion V1 = WeightVersion.of(1);
    private static final StepSpec SPEC =
            new StepSpec(1, List.of(new StepSpec.Group("prompt", 4, 8)));

    private static StepScheduler scheduler(StepLedger ledger) {
        return new StepScheduler(SPEC, ledger, 2, 2);
    }

    private static Sample sample(int slot, long version) {
        VersionSpan span = new VersionSpan(WeightVersion.of(version), 0, 3);
        return new Sample(1, 0, slot, "text", 3, List.of(span));
    }

    private static void runAll(StepScheduler scheduler, long version) {
        for (Optional<Integer> s = scheduler.takeOpenSlot();
                s.isPresent();
                s = scheduler.takeOpenSlot()) {
            scheduler.onSampleFinished(s.get(), sample(s.get(), version), V1);
        }
    }

    private static byte[] deliver(StepScheduler scheduler, long after) {
        DeliveryPlan.Write write = (DeliveryPlan.Write) scheduler.plan(after, V1);
        return scheduler.onLedgerWritten(write).orElseThrow();
    }

    @Test
    void shouldRepeatSameBytesWhenTrainerLacksLastDelivery() {
        StepScheduler scheduler = scheduler(StepLedger.start(SPEC, "a", 0));
        runAll(scheduler, 1);
        byte[] first = deliver(scheduler, 0);
        DeliveryPlan again = scheduler.plan(0, V1);
        assertThat(((DeliveryPlan.Repeat) again).body(), is(first));
    }

    @Test
    void shouldReopenSlotsOfLostDelivery() {
        StepScheduler former = scheduler(StepLedger.start(SPEC, "a", 0));
        runAll(former, 1);
        deliver(former, 0);
        StepScheduler successor = scheduler(former.ledger().withOwner("b"));
        Set<Integer> open = new HashSet<>();
        DeliveryPlan.Write voided = (DeliveryPlan.Write) successor.plan(0, V1);
        assertThat(voided.samples().isEmpty(), is(true));
        assertThat(successor.onLedgerWritten(voided), is(Optional.empty()));
        for (Optional<Integer> s = successor.takeOpenSlot();
                s.isPresent();
                s = successor.takeOpenSlot()) {
            open.add(s.get());
        }
        assertThat(open, is(Set.of(0, 1, 2, 3)));
    }

    @Test
    void shouldKeepDeliveredSlotsWhenStepIsTakenOver() {
        StepScheduler former = scheduler(StepLedger.start(SPEC, "a", 0));
        runAll(former, 1);
        deliver(former, 0);
        StepScheduler successor = scheduler(former.ledger().withOwner("b"));
        assertThat(successor.plan(1, V1), instanceOf(DeliveryPlan.Wait.class));
        runAll(successor, 1);
        deliver(successor, 1);
        assertThat(successor.plan(2, V1), instanceOf(DeliveryPlan.Complete.class));
    }

    @Test
    void shouldDropDuplicateAndRerunStaleOrUnlabelledSample() {
        StepScheduler scheduler = scheduler(StepLedger.start(SPEC, "a", 0));
        int slot = scheduler.takeOpenSlot().orElseThrow();
        assertThat(scheduler.onSampleFinished(slot, sample(slot, 1), V1), is(true));
        assertThat(scheduler.onSampleFinished(slot, sample(slot, 1), V1), is(false));
        int stale = scheduler.takeOpenSlot().orElseThrow();
        assertThat(
                scheduler.onSampleFinished(stale, sample(stale, 1), WeightVersion.of(4)),
                is(false));
        assertThat(scheduler.takeOpenSlot().orElseThrow(), is(stale));
        Sample unlabelled = new Sample(1, 0, stale, "text", 3, List.of());
        assertThat(scheduler.onSampleFinished(stale, unlabelled, V1), is(false));
        assertThat(scheduler.takeOpenSlot().orElseThrow(), is(stale));
    }

    @Test
    void shouldRejectUnexpectedDeliveryNumber() {
        StepScheduler scheduler = scheduler(StepLedger.start(SPEC, "a", 7));
        assertThat(scheduler.plan(5, V1), instanceOf(DeliveryPlan.Mismatch.class));
    }
}
