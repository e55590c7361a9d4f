package dev.cactusspan.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.cactusspan.id.Revision;
import dev.cactusspan.result.Result;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the frame decoder with random and damaged input. */
final class FrameDecoderTest {
    private static final int MAX_BYTES = 1 << 16;
    private static final int MAX_MESSAGES = 20;

    @Provide
    Arbitrary<List<Message>> messages() {
        Arbitrary<Message> cancels = Arbitraries.longs().map(Message.Cancel::new);
        Arbitrary<Message> heads =
                Arbitraries.strings()
                        .ofMaxLength(20)
                        .map(type -> new Message.Head(type.length(), 200, type));
        Arbitrary<Message> heartbeats =
                Arbitraries.longs().map(age -> new Message.Heartbeat(age, age > 0));
        return Arbitraries.oneOf(cancels, heads, heartbeats).list().ofMaxSize(MAX_MESSAGES);
    }

    @Property(seed = "1")
    void shouldDecodeTheSameFramesForAnyChunkSize(
            @ForAll("messages") List<Message> sent,
            @ForAll @IntRange(min = 1, max = 64) int chunkBytes) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (Message message : sent) {
            bytes.writeBytes(FrameCodec.encode(new Frame(Revision.of(3), message)).array());
        }
        FrameDecoder decoder = new FrameDecoder(MAX_BYTES);
        List<Message> received = new ArrayList<>();
        byte[] all = bytes.toByteArray();
        for (int from = 0; from < all.length; from += chunkBytes) {
            int length = Math.min(chunkBytes, all.length - from);
            decoder.feed(ByteBuffer.wrap(all, from, length))
                    .get()
                    .forEach(frame -> received.add(frame.message()));
        }
        assertThat(received, is(sent));
    }

    @Property(seed = "2", tries = 2_000)
    void shouldReturnAResultForRandomBytes(@ForAll @Size(max = 300) byte[] bytes) {
        Result<List<Frame>> result = new FrameDecoder(MAX_BYTES).feed(ByteBuffer.wrap(bytes));
        boolean isValid = result.isOk() || result.fold(f -> f.isNotRun(), v -> false);
        assertThat(isValid, is(true));
    }

    @Property(seed = "3", tries = 2_000)
    void shouldReturnAResultForADamagedFrame(
            @ForAll @IntRange(min = 4, max = 60) int at, @ForAll byte value) {
        byte[] bytes =
                FrameCodec.encode(
                                new Frame(
                                        Revision.of(1),
                                        new Message.Head(5, 200, "text/event-stream")))
                        .array();
        bytes[Math.min(at, bytes.length - 1)] = value;
        Result<List<Frame>> result = new FrameDecoder(MAX_BYTES).feed(ByteBuffer.wrap(bytes));
        assertThat(result.isOk() || result.fold(f -> f.isNotRun(), v -> false), is(true));
    }

    @Test
    void shouldRejectALengthOverTheMaximum() {
        ByteBuffer bytes = ByteBuffer.allocate(4).putInt(MAX_BYTES + 1).flip();
        assertThat(new FrameDecoder(MAX_BYTES).feed(bytes).isOk(), is(false));
    }

    @Test
    void shouldRejectANegativeLength() {
        ByteBuffer bytes = ByteBuffer.allocate(4).putInt(-1).flip();
        assertThat(new FrameDecoder(MAX_BYTES).feed(bytes).isOk(), is(false));
    }

    @Test
    void shouldRejectAnUnknownType() {
        byte[] good = FrameCodec.encode(new Frame(Revision.NONE, new Message.Cancel(1))).array();
        String text = new String(good, StandardCharsets.ISO_8859_1);
        byte[] bad = text.replace("ca", "zz").getBytes(StandardCharsets.ISO_8859_1);
        assertThat(new FrameDecoder(MAX_BYTES).feed(ByteBuffer.wrap(bad)).isOk(), is(false));
    }

    @Test
    void shouldRejectALengthBeyondTheEndOfTheFrame() {
        // Without the check of lengths, the mapper would allocate as many bytes as a length claims.
        byte[] good = FrameCodec.encode(new Frame(Revision.NONE, new Message.Cancel(1))).array();
        for (int type : new int[] {0xc6, 0xdb, 0xdd, 0xdf, 0xc9}) {
            byte[] bad = good.clone();
            int typeOffset = FrameCodec.LENGTH_BYTES;
            bad[typeOffset] = (byte) type;
            ByteBuffer.wrap(bad).putInt(typeOffset + 1, Integer.MAX_VALUE - 16);
            assertThat(new FrameDecoder(MAX_BYTES).feed(ByteBuffer.wrap(bad)).isOk(), is(false));
        }
    }
}
