package dev.cactusspan.waiting;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.RouteId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Replays more work than there are places, and checks who is served first. */
final class WaitingLineTest {
    private static final List<Need> NEEDS = List.copyOf(EnumSet.allOf(Need.class));
    private static final Rank HIGH = new Rank(0, 0);
    private static final Rank LOW = new Rank(0, 1);

    private final WaitingLine<String> mLine = new WaitingLine<>();

    private static WorkOrder order(Rank rank, Need need, String trainer, long dueMs) {
        return new WorkOrder(
                rank, need, new Flow(AccountId.of(trainer), RouteId.of("r")), dueMs, 0);
    }

    private String next() {
        return mLine.serve(work -> true).orElse("none");
    }

    @Test
    void shouldServeNeedsInTheOrderOfWhatCallersLose() {
        List<Need> needs = new ArrayList<>(NEEDS);
        needs.sort(Comparator.reverseOrder());
        needs.forEach(need -> mLine.add(need.name(), order(HIGH, need, "a", 1)));
        List<String> served = new ArrayList<>();
        for (int i = 0; i < needs.size(); i++) {
            served.add(next());
        }
        assertThat(
                served,
                is(List.of("CLIENT", "SCORE", "FIRST_GROUPS", "WANTED_GROUPS", "SURPLUS_GROUPS")));
    }

    @Test
    void shouldServeTheAccountsPriorityBeforeTheRoutes() {
        mLine.add("account 1, route 0", order(new Rank(1, 0), Need.CLIENT, "b", 1));
        mLine.add("account 0, route 9", order(new Rank(0, 9), Need.CLIENT, "a", 1));
        assertThat(next(), is("account 0, route 9"));
    }

    @Test
    void shouldServeWhatIsDueFirstWithinAFlow() {
        mLine.add("later", order(HIGH, Need.CLIENT, "a", 20));
        mLine.add("sooner", order(HIGH, Need.CLIENT, "a", 10));
        assertThat(next(), is("sooner"));
    }

    @Test
    void shouldGiveTrainersWithTheSameNeedTurns() {
        for (int i = 0; i < 100; i++) {
            mLine.add("a" + i, order(HIGH, Need.WANTED_GROUPS, "a", 10));
        }
        for (int i = 0; i < 20; i++) {
            mLine.add("b" + i, order(HIGH, Need.WANTED_GROUPS, "b", 20));
        }
        int fromB = 0;
        for (int i = 0; i < 40; i++) {
            fromB += next().startsWith("b") ? 1 : 0;
        }
        assertThat(fromB, greaterThanOrEqualTo(17));
    }

    @Test
    void shouldPassOverWorkThatNoPlaceSuits() {
        mLine.add("first", order(HIGH, Need.CLIENT, "a", 1));
        mLine.add("second", order(LOW, Need.SURPLUS_GROUPS, "a", 2));
        assertThat(mLine.serve(work -> work.equals("second")), is(Optional.of("second")));
        assertThat(mLine.serve(work -> work.equals("second")), is(Optional.empty()));
        assertThat(mLine.size(), is(1));
    }

    /** Both ranks ask for as much as all places: the high one gets most, the low one its part. */
    @Test
    void shouldServeALowRankWhileAHighOneNeverRunsOut() {
        int places = 400;
        for (int i = 0; i < places; i++) {
            mLine.add("high" + i, order(HIGH, Need.WANTED_GROUPS, "a", i));
            mLine.add("low" + i, order(LOW, Need.WANTED_GROUPS, "b", i));
        }
        int low = 0;
        for (int i = 0; i < places; i++) {
            low += next().startsWith("low") ? 1 : 0;
        }
        // Starved is who is served a quarter as often as all, here half of the work.
        assertThat(low, greaterThanOrEqualTo(places / 8));
        assertThat(low, lessThanOrEqualTo(places * 3 / 8));
    }

    /** Work of the lowest need waits while more urgent work keeps coming. */
    @Test
    void shouldBoundHowLongWorkWaits() {
        SplittableRandom random = new SplittableRandom(7);
        Map<String, Long> ahead = new HashMap<>();
        Map<String, Long> addedAt = new HashMap<>();
        long placed = 0;
        for (int i = 0; i < 4_000; i++) {
            for (int k = 0; k < (i % 3 == 0 ? 2 : 1); k++) {
                String id = i + "/" + k;
                Need need = NEEDS.get(random.nextInt(NEEDS.size()));
                Rank rank = new Rank(random.nextInt(2), random.nextInt(3));
                ahead.put(id, (long) mLine.size());
                addedAt.put(id, placed);
                mLine.add(id, order(rank, need, "t" + random.nextInt(3), i));
            }
            String served = next();
            placed++;
            long waited = placed - addedAt.get(served);
            assertThat(
                    served + " was placed",
                    waited,
                    lessThanOrEqualTo(WaitingLine.OLDEST_SHARE * (ahead.get(served) + 1)));
        }
    }
}
