package dev.cactusspan.intake;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Iterator;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class HeldBodyTest {
    private static final int PART_BYTES = 16 << 10;
    private static final long CHUNK_BYTES = 64 << 10;

    private final MemoryBudget mBudget = new MemoryBudget(8 << 20);
    private final HeldBody mBody = new HeldBody(mBudget.reserve(0).orElseThrow());

    @Test
    void shouldHoldWhatItCollectsAndAChunkMoreAtMost() {
        for (int i = 0; i < 100; i++) {
            assertThat(mBody.add(new byte[PART_BYTES]), is(true));
            assertThat(mBudget.heldBytes(), greaterThanOrEqualTo(mBody.length()));
            assertThat(mBudget.heldBytes(), lessThanOrEqualTo(mBody.length() + CHUNK_BYTES));
        }
    }

    @Test
    void shouldTakeNothingOfAPartWithoutRoom() {
        while (mBody.add(new byte[PART_BYTES])) {
            assertThat(mBudget.heldBytes(), lessThanOrEqualTo(mBudget.totalBytes()));
        }
        long before = mBody.length();
        assertThat(mBody.add(new byte[PART_BYTES]), is(false));
        assertThat(mBody.length(), is(before));
    }

    @Test
    void shouldReturnAllWhenClosed() {
        mBody.add(new byte[PART_BYTES]);
        mBody.close();
        assertThat(mBudget.heldBytes(), is(0L));
        assertThat(mBody.length(), is(0L));
    }

    @Test
    void shouldKeepTheHoldOfABodyThatWasTaken() {
        mBody.add(new byte[PART_BYTES]);
        Body body = mBody.take();
        mBody.close();
        assertThat(mBudget.heldBytes(), greaterThanOrEqualTo((long) PART_BYTES));
        body.hold().close();
        assertThat(mBudget.heldBytes(), is(0L));
    }

    @Test
    void shouldReturnTheBytesInOrderAndLetGoOfThem() {
        SplittableRandom random = new SplittableRandom(38);
        ByteArrayOutputStream expected = new ByteArrayOutputStream();
        for (int i = 0; i < 200; i++) {
            byte[] part = new byte[random.nextInt(PART_BYTES)];
            random.nextBytes(part);
            expected.writeBytes(part);
            mBody.add(part);
        }
        Body body = mBody.take();
        assertThat(body.length(), is((long) expected.size()));
        assertThat(body.toBytes(), is(expected.toByteArray()));
        ByteArrayOutputStream drained = new ByteArrayOutputStream();
        for (Iterator<ByteBuffer> parts = body.drainParts(); parts.hasNext(); ) {
            ByteBuffer part = parts.next();
            byte[] bytes = new byte[part.remaining()];
            part.get(bytes);
            drained.writeBytes(bytes);
        }
        assertThat(drained.toByteArray(), is(expected.toByteArray()));
        assertThat(body.parts().hasNext(), is(false));
    }
}
