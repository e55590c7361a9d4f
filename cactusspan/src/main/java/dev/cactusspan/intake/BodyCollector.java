package dev.cactusspan.intake;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Collects a body in chunks that are allocated as its bytes arrive. */
public final class BodyCollector {
    /** First chunk of a body without a length, which mostly is small. */
    private static final int FIRST_CHUNK_BYTES = 4 << 10;

    private final List<ByteBuffer> mChunks = new ArrayList<>();
    private final long mExpectedBytes;
    private ByteBuffer mCurrent = ByteBuffer.allocate(0);
    private long mLength;

    /**
     * Creates a collector.
     *
     * @param expectedBytes length of the body, negative if it is not known
     */
    public BodyCollector(long expectedBytes) {
        mExpectedBytes = expectedBytes;
    }

    /**
     * Returns a buffer for the next bytes. {@link #added} is called after they were put there.
     *
     * @return a buffer with room
     */
    public ByteBuffer room() {
        if (!mCurrent.hasRemaining()) {
            mCurrent = ByteBuffer.allocate(nextChunkBytes());
            mChunks.add(mCurrent);
        }
        return mCurrent;
    }

    private int nextChunkBytes() {
        if (mExpectedBytes >= 0) {
            // One byte more where nothing is due, in which a reader finds the end.
            long due = Math.max(1, mExpectedBytes - mLength);
            return (int) Math.min(Body.CHUNK_BYTES, due);
        }
        return mChunks.isEmpty() ? FIRST_CHUNK_BYTES : Body.CHUNK_BYTES;
    }

    /**
     * Counts bytes that were put into the buffer.
     *
     * @param bytes how many
     */
    public void added(int bytes) {
        mLength += bytes;
    }

    /**
     * Returns the number of bytes collected.
     *
     * @return the bytes
     */
    public long length() {
        return mLength;
    }

    /**
     * Returns the memory that the chunks take, or will take for a body of known length. Without one
     * it grows in steps, as a body may come byte by byte.
     *
     * @return the bytes
     */
    public long heldBytes() {
        if (mExpectedBytes >= 0) {
            return Math.max(mExpectedBytes, mLength);
        }
        long steps = (mLength + FIRST_CHUNK_BYTES - 1) / FIRST_CHUNK_BYTES;
        return steps * FIRST_CHUNK_BYTES + Body.CHUNK_BYTES;
    }

    /**
     * Moves the chunks into a body; the collector is not used afterwards.
     *
     * @param hold the bytes held for it
     * @return the body
     */
    public Body take(Hold hold) {
        if (mLength == 0) {
            clear();
            return Body.empty();
        }
        mChunks.forEach(ByteBuffer::flip);
        Body body = Body.of(mChunks, mLength, hold);
        clear();
        return body;
    }

    /** Lets go of the chunks; the collector is not used afterwards. */
    public void clear() {
        mChunks.clear();
        mCurrent = ByteBuffer.allocate(0);
    }
}
