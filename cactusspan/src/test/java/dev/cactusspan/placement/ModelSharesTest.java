package dev.cactusspan.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.cactusspan.id.BatchId;
import dev.cactusspan.id.ModelId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests how targets are divided among models, also by replaying the load that it answers. */
final class ModelSharesTest {
    private static final ModelId SHORT = ModelId.of("short");
    private static final ModelId LONG = ModelId.of("long");
    private static final int TARGETS = 21;
    private static final int SLOTS = 6;

    private static Map<ModelId, Integer> shares(double shortTokens, double longTokens) {
        return new ModelShares()
                .update(
                        List.of(SHORT, LONG),
                        TARGETS,
                        m -> m.equals(SHORT) ? shortTokens : longTokens);
    }

    @Test
    void shouldShareEquallyWithoutKnownDemand() {
        assertThat(shares(0, 0).get(SHORT) + shares(0, 0).get(LONG), is(TARGETS));
        assertThat(Math.abs(shares(0, 0).get(SHORT) - shares(0, 0).get(LONG)), is(1));
        assertThat(shares(0, 5), is(shares(0, 0)));
    }

    @Test
    void shouldShareBySquareRootOfDemand() {
        assertThat(shares(1_000, 4_000), is(Map.of(SHORT, 7, LONG, 14)));
    }

    @Test
    void shouldKeepSharesUnderSmallChanges() {
        ModelShares shares = new ModelShares();
        List<ModelId> models = List.of(SHORT, LONG);
        Map<ModelId, Integer> first =
                Map.copyOf(shares.update(models, TARGETS, m -> m.equals(SHORT) ? 1_000 : 4_000));
        assertThat(shares.update(models, TARGETS, m -> m.equals(SHORT) ? 1_200 : 3_600), is(first));
        assertThat(shares.update(models, TARGETS, m -> 1_000).get(SHORT), greaterThanOrEqualTo(10));
    }

    @Test
    void shouldAverageBatchesAndCountEachOnce() {
        ModelDemand demand = new ModelDemand();
        demand.add(BatchId.of("a"), SHORT, 100, 0);
        demand.add(BatchId.of("a"), SHORT, 500, 0);
        assertThat(demand.tokens(SHORT, 0), is(100.0));
        demand.add(BatchId.of("b"), SHORT, 200, 8_000);
        assertThat(demand.tokens(SHORT, 30_000), is(130.0));
        assertThat(demand.tokens(SHORT, 200_000), is(0.0));
        assertThat(demand.tokens(LONG, 0), is(0.0));
    }

    /** A trainer whose steps are late sends fewer batches, and still needs its targets. */
    @Test
    void shouldKeepSharesWhileATrainerIsLate() {
        ModelDemand demand = new ModelDemand();
        ModelShares shares = new ModelShares();
        Set<Map<ModelId, Integer>> seen = new HashSet<>();
        for (int step = 0; step < 10; step++) {
            long nowMs = step * 4_000L;
            demand.add(BatchId.of("s" + step), SHORT, 40_000 + 3_000 * (step % 3), nowMs);
            if (step % 3 == 0) {
                demand.add(BatchId.of("l" + step), LONG, 120_000 + 9_000 * (step % 2), nowMs);
            }
            seen.add(
                    Map.copyOf(
                            shares.update(
                                    List.of(SHORT, LONG), TARGETS, m -> demand.tokens(m, nowMs))));
        }
        assertThat(seen.size(), is(1));
    }

    /** All targets are shared out, and each model gets two of them if there are enough. */
    @Property(seed = "97", tries = 300)
    void shouldShareOutAllTargets(
            @ForAll @IntRange(min = 1, max = 6) int models,
            @ForAll @IntRange(min = 1, max = 40) int targets,
            @ForAll long seed) {
        Random random = new Random(seed);
        List<ModelId> ids = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            ids.add(ModelId.of("m" + i));
        }
        ModelShares shares = new ModelShares();
        for (int i = 0; i < 4; i++) {
            Map<ModelId, Integer> result =
                    shares.update(ids, targets, m -> random.nextInt(5) * 1_000.0);
            int sum = result.values().stream().mapToInt(Integer::intValue).sum();
            int least = Math.min(2, targets);
            result.values().forEach(n -> assertThat(n, greaterThanOrEqualTo(least)));
            assertThat(sum, is(Math.max(targets, least * models)));
        }
    }

    /**
     * Replays two trainers that send 64 items each every 4 s, one with texts three times as long as
     * the other's. The last items of the long texts must not wait longer than with equal shares,
     * and the slower of the two trainers gets its results sooner.
     */
    @Test
    void shouldShortenTheSlowestTrainersSteps() {
        double equal = Math.max(waitMs(11, 12.5), waitMs(10, 38.8));
        Map<ModelId, Integer> shares = shares(12.5, 38.8);
        double byDemand = Math.max(waitMs(shares.get(SHORT), 12.5), waitMs(shares.get(LONG), 38.8));
        assertThat(byDemand, lessThanOrEqualTo(0.7 * equal));
    }

    /** Mean time that the last started item of a step waits for a slot. */
    private static double waitMs(int targets, double meanEvents) {
        double eventMs = 25.4;
        Random random = new Random(11);
        PriorityQueue<Double> free = new PriorityQueue<>();
        for (int i = 0; i < targets * SLOTS; i++) {
            free.add(0.0);
        }
        double sumMs = 0;
        int steps = 200;
        for (int step = 0; step < steps; step++) {
            double arrivedMs = step * 4_000.0;
            List<Double> texts = new ArrayList<>();
            for (int i = 0; i < 64; i++) {
                double events = meanEvents * Math.exp(0.84 * random.nextGaussian() - 0.35);
                texts.add(Math.min(280, random.nextInt(12) == 0 ? events * 5 : events) * eventMs);
            }
            texts.sort(Comparator.reverseOrder());
            double lastStartMs = arrivedMs;
            for (double textMs : texts) {
                double startMs = Math.max(arrivedMs, free.remove());
                free.add(startMs + textMs);
                lastStartMs = Math.max(lastStartMs, startMs);
            }
            sumMs += lastStartMs - arrivedMs;
        }
        return sumMs / steps;
    }
}
