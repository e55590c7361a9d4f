package dev.cactusspan.intake;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Iterator;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

final class BodyTest {
    @Property(tries = 200, seed = "3003")
    void shouldReturnTheCollectedBytes(
            @ForAll @IntRange(max = 300_000) int length,
            @ForAll boolean isLengthKnown,
            @ForAll long seed)
            throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] bytes = new byte[length];
        random.nextBytes(bytes);
        BodyCollector collector = new BodyCollector(isLengthKnown ? length : -1);
        int offset = 0;
        while (offset < length) {
            ByteBuffer room = collector.room();
            int count =
                    Math.min(
                            Math.min(room.remaining(), length - offset),
                            1 + random.nextInt(40_000));
            room.put(bytes, offset, count);
            collector.added(count);
            offset += count;
            assertThat(collector.length(), is(lessThanOrEqualTo(collector.heldBytes())));
        }
        Body body = collector.take(Hold.UNLIMITED);
        assertThat(body.length(), is((long) length));
        assertThat(body.toBytes(), is(bytes));
        assertThat(joined(body), is(bytes));
        assertThat(joined(body), is(bytes));
        assertThat(joined(Body.of(bytes)), is(bytes));
        assertThat(body.drain().readAllBytes(), is(bytes));
        assertThat(body.drain().readAllBytes().length, is(0));
    }

    private static byte[] joined(Body body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (Iterator<ByteBuffer> parts = body.parts(); parts.hasNext(); ) {
            ByteBuffer part = parts.next();
            assertThat(part.remaining(), is(lessThanOrEqualTo(Body.CHUNK_BYTES)));
            byte[] bytes = new byte[part.remaining()];
            part.get(bytes);
            out.writeBytes(bytes);
        }
        return out.toByteArray();
    }
}
