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

/** Deliveries of one step, one decision at a time. */
final class StepBookTest {
    private static final WeightVersion V1 = WeightVersion.of(1);
    private static final StepSpec SPEC =
            new StepSpec(1, List.of(new StepSpec.Group("prompt", 4, 8)));

    private static StepBook book(StepLedger ledger) {
        return new StepBook(SPEC, ledger, 2, 2);
    }

    private static Sample sample(int slot, long version) {
        VersionSpan span = new VersionSpan(WeightVersion.of(version), 0, 3);
        return new Sample(1, 0, slot, "text", 3, List.of(span));
    }

    private static void runAll(StepBook book, long version) {
        for (Optional<Integer> s = book.takeOpen(); s.isPresent(); s = book.takeOpen()) {
            book.finished(s.get(), sample(s.get(), version), V1);
        }
    }

    private static byte[] deliver(StepBook book, long after) {
        DeliveryPlan.Write write = (DeliveryPlan.Write) book.plan(after, V1);
        return book.written(write).orElseThrow();
    }

    @Test
    void shouldRepeatTheSameBytesToATrainerThatLacksThem() {
        StepBook book = book(StepLedger.start(SPEC, "a", 0));
        runAll(book, 1);
        byte[] first = deliver(book, 0);
        DeliveryPlan again = book.plan(0, V1);
        assertThat(((DeliveryPlan.Repeat) again).body(), is(first));
    }

    @Test
    void shouldOpenTheSlotsOfALostDeliveryAgain() {
        StepBook old = book(StepLedger.start(SPEC, "a", 0));
        runAll(old, 1);
        deliver(old, 0);
        StepBook taken = book(old.ledger().takeOver("b"));
        Set<Integer> open = new HashSet<>();
        DeliveryPlan.Write voided = (DeliveryPlan.Write) taken.plan(0, V1);
        assertThat(voided.samples().isEmpty(), is(true));
        assertThat(taken.written(voided), is(Optional.empty()));
        for (Optional<Integer> s = taken.takeOpen(); s.isPresent(); s = taken.takeOpen()) {
            open.add(s.get());
        }
        assertThat(open, is(Set.of(0, 1, 2, 3)));
    }

    @Test
    void shouldKeepWhatTheTrainerHoldsWhenAStepIsTakenOver() {
        StepBook old = book(StepLedger.start(SPEC, "a", 0));
        runAll(old, 1);
        deliver(old, 0);
        StepBook taken = book(old.ledger().takeOver("b"));
        assertThat(taken.plan(1, V1), instanceOf(DeliveryPlan.Wait.class));
        runAll(taken, 1);
        deliver(taken, 1);
        assertThat(taken.plan(2, V1), instanceOf(DeliveryPlan.Complete.class));
    }

    @Test
    void shouldDropASecondCopyAndRerunWhatIsStaleOrWithoutALabel() {
        StepBook book = book(StepLedger.start(SPEC, "a", 0));
        int slot = book.takeOpen().orElseThrow();
        assertThat(book.finished(slot, sample(slot, 1), V1), is(true));
        assertThat(book.finished(slot, sample(slot, 1), V1), is(false));
        int stale = book.takeOpen().orElseThrow();
        assertThat(book.finished(stale, sample(stale, 1), WeightVersion.of(4)), is(false));
        assertThat(book.takeOpen().orElseThrow(), is(stale));
        Sample unlabelled = new Sample(1, 0, stale, "text", 3, List.of());
        assertThat(book.finished(stale, unlabelled, V1), is(false));
        assertThat(book.takeOpen().orElseThrow(), is(stale));
    }

    @Test
    void shouldRefuseANumberThatFitsNoDelivery() {
        StepBook book = book(StepLedger.start(SPEC, "a", 7));
        assertThat(book.plan(5, V1), instanceOf(DeliveryPlan.Mismatch.class));
    }
}
