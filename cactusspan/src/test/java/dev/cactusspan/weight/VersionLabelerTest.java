package dev.cactusspan.weight;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.WeightVersion;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Labels of responses from engines that may swap weights at any time. */
final class VersionLabelerTest {
    private static final WeightVersion V1 = WeightVersion.of(1);
    private static final WeightVersion V2 = WeightVersion.of(2);

    @Property(seed = "71")
    void shouldLabelEachTokenCorrectlyOrNotAtAll(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int tokens) {
        Random random = new Random(seed);
        boolean reportsVersions = random.nextBoolean();
        long version = 1;
        long swaps = 0;
        VersionLabeler labeler = new VersionLabeler(V1, swaps);
        long[] expectedVersions = new long[tokens];
        for (int i = 0; i < tokens; i++) {
            if (random.nextInt(20) == 0) {
                version++;
                swaps++;
            }
            expectedVersions[i] = version;
            boolean isReported = reportsVersions && random.nextInt(50) != 0;
            labeler.addPart(1, isReported ? WeightVersion.of(version) : WeightVersion.NONE);
        }
        List<VersionSpan> spans = labeler.finish(WeightVersion.of(version), swaps);
        for (VersionSpan span : spans) {
            for (int i = span.fromToken(); i < span.toToken(); i++) {
                assertThat(span.version().number(), is(expectedVersions[i]));
            }
        }
        boolean isCovered = spans.isEmpty() || spans.get(spans.size() - 1).toToken() == tokens;
        assertThat(isCovered, is(true));
    }

    @Test
    void shouldReturnSeveralVersionsAcrossASwap() {
        VersionLabeler labeler = new VersionLabeler(V1, 0);
        labeler.addPart(3, V1);
        labeler.addPart(2, V2);
        assertThat(
                labeler.finish(V2, 1),
                is(List.of(new VersionSpan(V1, 0, 3), new VersionSpan(V2, 3, 5))));
    }

    @Test
    void shouldNotGuessWhenASwapWasOrderedAndRolledBack() {
        VersionLabeler labeler = new VersionLabeler(V1, 0);
        labeler.addPart(3, WeightVersion.NONE);
        assertThat(labeler.finish(V1, 2), is(List.of()));
    }
}
