package dev.cactusspan.intake;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class BodyCollectorTest {
    @Test
    void shouldHoldABodyOfKnownLengthAtOnce() {
        assertThat(new BodyCollector(1_000_000).heldBytes(), is(1_000_000L));
    }

    @Test
    void shouldHoldABodyThatComesByteByByteInSteps() {
        BodyCollector collector = new BodyCollector(-1);
        long steps = 0;
        long heldBytes = collector.heldBytes();
        for (int i = 1; i <= 100_000; i++) {
            collector.room().put((byte) 'x');
            collector.added(1);
            steps += collector.heldBytes() > heldBytes ? 1 : 0;
            heldBytes = collector.heldBytes();
            assertThat(heldBytes, greaterThanOrEqualTo(i + (long) Body.CHUNK_BYTES));
        }
        assertThat(steps, is(25L));
    }
}
