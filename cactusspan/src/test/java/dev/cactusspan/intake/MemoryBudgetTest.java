package dev.cactusspan.intake;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

final class MemoryBudgetTest {
    private static final long ENTRY_HEAP_BYTES = 92L << 20;
    private static final long LARGEST_BODY_BYTES = 33_554_432;

    /** A change of one of some holds: a negative size closes it. */
    record Change(int hold, long bytes) {}

    @Provide
    static Arbitrary<List<Change>> changes() {
        Arbitrary<Long> sizes =
                Arbitraries.oneOf(
                        Arbitraries.just(-1L),
                        Arbitraries.longs().between(0, 64 << 10),
                        Arbitraries.longs().between(0, 2 << 20),
                        Arbitraries.longs().between(0, 40 << 20));
        return Arbitraries.integers()
                .between(0, 60)
                .flatMap(hold -> sizes.map(bytes -> new Change(hold, bytes)))
                .list()
                .ofMaxSize(300);
    }

    @Property(tries = 300, seed = "3001")
    void shouldNeverHoldMoreThanItsSizeAndGetAllBack(@ForAll("changes") List<Change> changes) {
        MemoryBudget budget = MemoryBudget.ofHeap(ENTRY_HEAP_BYTES);
        List<Optional<Hold>> holds = new ArrayList<>();
        for (int i = 0; i <= 60; i++) {
            holds.add(Optional.empty());
        }
        for (Change change : changes) {
            Optional<Hold> hold = holds.get(change.hold());
            if (change.bytes() < 0) {
                hold.ifPresent(Hold::close);
                holds.set(change.hold(), Optional.empty());
            } else if (hold.isPresent()) {
                hold.get().resize(change.bytes());
            } else {
                holds.set(change.hold(), budget.reserve(change.bytes()));
            }
            long sum = holds.stream().flatMap(Optional::stream).mapToLong(Hold::bytes).sum();
            assertThat(budget.heldBytes(), is(sum));
            assertThat(sum, is(lessThanOrEqualTo(budget.totalBytes())));
        }
        holds.stream().flatMap(Optional::stream).forEach(Hold::close);
        holds.stream().flatMap(Optional::stream).forEach(Hold::close);
        assertThat(budget.heldBytes(), is(0L));
        assertThat(budget.reserve(LARGEST_BODY_BYTES).isPresent(), is(true));
    }

    @Property(tries = 100, seed = "3002")
    void shouldKeepAShareForSmallRequestsThatLargerOnesCannotTake(
            @ForAll("changes") List<Change> changes) {
        MemoryBudget budget = MemoryBudget.ofHeap(ENTRY_HEAP_BYTES);
        for (Change change : changes) {
            if (SizeClass.of(change.bytes()) != SizeClass.SMALL) {
                budget.reserve(change.bytes());
            }
        }
        int admitted = 0;
        while (budget.reserve(16 << 10).isPresent()) {
            admitted++;
        }
        assertThat(admitted, is(greaterThanOrEqualTo(300)));
    }

    @Test
    void shouldAdmitTheLargestBodyBesideOrdinaryRequestsAndRefuseASecond() {
        MemoryBudget budget = MemoryBudget.ofHeap(ENTRY_HEAP_BYTES);
        for (int i = 0; i < 200; i++) {
            assertThat(budget.reserve(10 << 10).isPresent(), is(true));
        }
        assertThat(budget.reserve(LARGEST_BODY_BYTES + (16 << 10)).isPresent(), is(true));
        assertThat(budget.reserve(LARGEST_BODY_BYTES).isPresent(), is(false));
    }

    @Test
    void shouldKeepTheShareOfSmallRequestsBesideStandingBytesBeyondTheBudget() {
        MemoryBudget budget = new MemoryBudget(8 << 20);
        budget.standing().accept(9 << 20);
        assertThat(budget.reserve(3 << 20).isPresent(), is(false));
        assertThat(budget.reserve(10 << 10).isPresent(), is(true));
    }

    @Test
    void shouldCountStandingBytesOnce() {
        MemoryBudget budget = new MemoryBudget(8 << 20);
        LongConsumer standing = budget.standing();
        standing.accept(9 << 20);
        standing.accept(1 << 20);
        assertThat(budget.heldBytes(), is(1L << 20));
        assertThat(budget.reserve(3 << 20).isPresent(), is(true));
    }
}
