package dev.cactusspan.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes frames as a four-byte big-endian length followed by MessagePack. */
public final class FrameCodec {
    /** Size of the length field. */
    public static final int LENGTH_BYTES = 4;

    /** Maximum size of a frame's payload. */
    public static final int MAX_FRAME_BYTES = 20 << 20;

    private static final int MAX_DEPTH = 16;
    private static final ObjectMapper MAPPER = newMapper();

    private FrameCodec() {}

    private static ObjectMapper newMapper() {
        MessagePackFactory factory = new MessagePackFactory();
        factory.setStreamReadConstraints(
                StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build());
        return new ObjectMapper(factory)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
    }

    /**
     * Encodes a frame.
     *
     * @param frame the frame
     * @return length and payload, ready to be written
     */
    public static ByteBuffer encode(Frame frame) {
        try {
            byte[] payload = MAPPER.writeValueAsBytes(frame);
            ByteBuffer buffer = ByteBuffer.allocate(LENGTH_BYTES + payload.length);
            buffer.putInt(payload.length).put(payload).flip();
            return buffer;
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes the payload of a frame.
     *
     * @param payload MessagePack without the length
     * @return the frame, or {@code bad_request}
     */
    public static Result<Frame> decode(byte[] payload) {
        try {
            checkLengths(payload);
            Frame frame = MAPPER.readValue(payload, Frame.class);
            if (frame == null) {
                return Result.fail(ErrorKind.BAD_REQUEST, "frame is nil");
            }
            return Result.of(frame);
        } catch (IOException | RuntimeException e) {
            return Result.fail(ErrorKind.BAD_REQUEST, "bad frame: " + e.getClass().getSimpleName());
        }
    }

    /**
     * Checks the lengths in a payload by skipping over it, which allocates nothing. A length may
     * claim more bytes than the payload has, and the mapper would allocate them.
     */
    private static void checkLengths(byte[] payload) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            unpacker.skipValue();
        }
    }
}
