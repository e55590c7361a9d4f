package dev.cactusspan.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The largest response yields when all of them together are too large. */
final class ResponseBudgetTest {
    private static final long MAX_BYTES = 100;

    private final ResponseBudget mBudget = new ResponseBudget(MAX_BYTES, 0);
    private final List<String> mDropped = new ArrayList<>();

    private ResponseBudget.Hold open(String name) {
        return mBudget.open(() -> mDropped.add(name));
    }

    @Test
    void shouldDropTheLongestFirst() {
        ResponseBudget.Hold small = open("small");
        small.grow(10);
        ResponseBudget.Hold large = open("large");
        large.grow(60);
        ResponseBudget.Hold medium = open("medium");
        medium.grow(40);
        assertThat(mDropped, contains("large"));
        assertThat(large.isOpen(), is(false));
        assertThat(mBudget.heldBytes(), is(50L));
    }

    @Test
    void shouldDropOneThatAsksForTooMuch() {
        open("small").grow(99);
        ResponseBudget.Hold large = open("large");
        large.grow(MAX_BYTES + 1);
        assertThat(mDropped, contains("large"));
        large.grow(MAX_BYTES + 1);
        large.close();
        assertThat(mBudget.heldBytes(), is(99L));
    }

    @Test
    void shouldNeverDropASmallOne() {
        ResponseBudget budget = new ResponseBudget(MAX_BYTES, 10);
        List<ResponseBudget.Hold> holds = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            ResponseBudget.Hold hold = budget.open(() -> mDropped.add("small"));
            hold.grow(10);
            holds.add(hold);
        }
        budget.open(() -> mDropped.add("large")).grow(11);
        assertThat(mDropped, contains("large"));
        assertThat(holds.stream().allMatch(ResponseBudget.Hold::isOpen), is(true));
    }

    @Test
    void shouldGetAllBackOfResponsesThatEnd() {
        for (int i = 0; i < 1_000; i++) {
            try (ResponseBudget.Hold hold = open("response")) {
                hold.grow(MAX_BYTES);
            }
        }
        assertThat(mDropped, is(empty()));
        assertThat(mBudget.heldBytes(), is(0L));
    }

    @Property(seed = "4401", tries = 200)
    void shouldNeverHoldMoreThanItsSize(@ForAll long seed) {
        Random random = new Random(seed);
        List<ResponseBudget.Hold> holds = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            if (holds.isEmpty() || random.nextInt(4) == 0) {
                holds.add(open("response " + i));
            }
            ResponseBudget.Hold hold = holds.get(random.nextInt(holds.size()));
            if (random.nextInt(5) == 0) {
                hold.close();
            } else {
                hold.grow(random.nextInt(60));
            }
            assertThat(mBudget.heldBytes(), lessThanOrEqualTo(MAX_BYTES));
        }
        holds.forEach(ResponseBudget.Hold::close);
        assertThat(mBudget.heldBytes(), is(0L));
    }
}
