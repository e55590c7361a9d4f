package dev.cactusspan.intake;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects a body of unknown length, and holds the memory of each chunk before it is allocated. Not
 * thread-safe.
 */
public final class HeldBody implements AutoCloseable {
    /** First chunk, as most bodies are small. */
    private static final int FIRST_CHUNK_BYTES = 4 << 10;

    private final List<ByteBuffer> mChunks = new ArrayList<>();
    private Hold mHold;
    private ByteBuffer mCurrent = ByteBuffer.allocate(0);
    private long mLength;

    /**
     * Creates an empty body.
     *
     * @param hold holds its memory, and is closed with it
     */
    public HeldBody(Hold hold) {
        mHold = hold;
    }

    // Operations

    /**
     * Adds bytes, all or none of them.
     *
     * @param data the bytes, which are copied
     * @return false if there is no memory for them
     */
    public boolean add(byte[] data) {
        int first = Math.min(data.length, mCurrent.remaining());
        int rest = data.length - first;
        int chunkBytes = Math.max(rest, mChunks.isEmpty() ? FIRST_CHUNK_BYTES : Body.CHUNK_BYTES);
        if (rest > 0 && !mHold.resize(mHold.bytes() + chunkBytes)) {
            return false;
        }
        mCurrent.put(data, 0, first);
        if (rest > 0) {
            mCurrent = ByteBuffer.allocate(chunkBytes);
            mChunks.add(mCurrent);
            mCurrent.put(data, first, rest);
        }
        mLength += data.length;
        return true;
    }

    /**
     * Moves the bytes and their hold into a body; this one is empty afterwards.
     *
     * @return the body
     */
    public Body take() {
        mChunks.forEach(ByteBuffer::flip);
        Body body = Body.of(mChunks, mLength, mHold);
        clear();
        mHold = Hold.UNLIMITED;
        return body;
    }

    private void clear() {
        mChunks.clear();
        mCurrent = ByteBuffer.allocate(0);
        mLength = 0;
    }

    /** Lets go of the bytes, and returns their memory. */
    @Override
    public void close() {
        clear();
        mHold.close();
    }

    // Accessors

    /**
     * Returns the number of bytes collected.
     *
     * @return the bytes
     */
    public long length() {
        return mLength;
    }
}
