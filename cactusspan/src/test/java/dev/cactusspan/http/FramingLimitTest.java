package dev.cactusspan.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class FramingLimitTest {
    private static final long MAX_BYTES = 1_000;

    private final FramingLimit mLimit = new FramingLimit(MAX_BYTES, 300);

    @Test
    void shouldAllowAnyNumberOfChunks() {
        long consumedBytes = 300;
        for (int i = 0; i < 10_000; i++) {
            mLimit.onFraming(consumedBytes + 5);
            assertThat(mLimit.isExceeded(), is(false));
            assertThat(mLimit.isSmall(), is(true));
            consumedBytes += 6;
            mLimit.onBody(consumedBytes);
        }
    }

    @Test
    void shouldBeExceededByTrailersAfterALargeBody() {
        mLimit.onBody(4_000_000);
        mLimit.onFraming(4_000_000 + MAX_BYTES);
        assertThat(mLimit.isExceeded(), is(false));
        assertThat(mLimit.isSmall(), is(false));
        mLimit.onFraming(4_000_001 + MAX_BYTES);
        assertThat(mLimit.isExceeded(), is(true));
    }

    @Test
    void shouldHoldForTheLongestFramingOnce() {
        mLimit.onFraming(310);
        assertThat(mLimit.takeMissingBytes(), is(10 * FramingLimit.MEMORY_FACTOR));
        mLimit.onBody(311);
        mLimit.onFraming(321);
        assertThat(mLimit.takeMissingBytes(), is(0L));
        mLimit.onFraming(323);
        assertThat(mLimit.takeMissingBytes(), is(2 * FramingLimit.MEMORY_FACTOR));
    }
}
