package dev.cactusspan.wire;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Decodes a byte stream into frames. After a failure the connection must be closed. */
public final class FrameDecoder {
    private static final int INITIAL_BYTES = 4096;

    private final int mMaxFrameBytes;
    private int mNextFrameBytes;
    private byte[] mPending = new byte[INITIAL_BYTES];
    private int mPendingBytes;

    /**
     * Creates a decoder.
     *
     * @param maxFrameBytes maximum size of a payload
     */
    public FrameDecoder(int maxFrameBytes) {
        this(maxFrameBytes, maxFrameBytes);
    }

    /**
     * Creates a decoder with another limit for the first frame.
     *
     * @param firstFrameBytes maximum size of the first payload
     * @param maxFrameBytes maximum size of each further payload
     */
    public FrameDecoder(int firstFrameBytes, int maxFrameBytes) {
        mNextFrameBytes = firstFrameBytes;
        mMaxFrameBytes = maxFrameBytes;
    }

    /**
     * Appends received bytes and returns the frames that are now complete.
     *
     * @param input the received bytes, all of which are consumed
     * @return the frames, or {@code payload_too_large} or {@code bad_request}
     */
    public Result<List<Frame>> feed(ByteBuffer input) {
        append(input);
        List<Frame> frames = new ArrayList<>();
        int offset = 0;
        while (mPendingBytes - offset >= FrameCodec.LENGTH_BYTES) {
            int length = ByteBuffer.wrap(mPending, offset, FrameCodec.LENGTH_BYTES).getInt();
            if (length <= 0 || length > mNextFrameBytes) {
                return Result.fail(
                        ErrorKind.PAYLOAD_TOO_LARGE,
                        "frame length " + length + " is not in 1.." + mNextFrameBytes);
            }
            int end = offset + FrameCodec.LENGTH_BYTES + length;
            if (end > mPendingBytes) {
                break;
            }
            byte[] payload = Arrays.copyOfRange(mPending, offset + FrameCodec.LENGTH_BYTES, end);
            Result<Frame> frame = FrameCodec.decode(payload);
            if (!frame.isOk()) {
                return frame.map(f -> List.of());
            }
            frames.add(frame.get());
            mNextFrameBytes = mMaxFrameBytes;
            offset = end;
        }
        discard(offset);
        return Result.of(frames);
    }

    private void append(ByteBuffer input) {
        int needed = mPendingBytes + input.remaining();
        if (needed > mPending.length) {
            mPending = Arrays.copyOf(mPending, Math.max(needed, mPending.length * 2));
        }
        int count = input.remaining();
        input.get(mPending, mPendingBytes, count);
        mPendingBytes += count;
    }

    private void discard(int count) {
        mPendingBytes -= count;
        System.arraycopy(mPending, count, mPending, 0, mPendingBytes);
        if (mPendingBytes == 0 && mPending.length > INITIAL_BYTES * 16) {
            mPending = new byte[INITIAL_BYTES];
        }
    }

    /**
     * Returns the number of bytes of an incomplete frame.
     *
     * @return the bytes, zero between frames
     */
    public int pendingBytes() {
        return mPendingBytes;
    }
}
