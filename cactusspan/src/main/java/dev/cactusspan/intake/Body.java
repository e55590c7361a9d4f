package dev.cactusspan.intake;

import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * The body of a request or response, in chunks, so that a large one needs no array of its size and
 * no copy on its way to a target. It stays in memory until the request ends, so that the request
 * can be sent again. Thread-safe unless it is drained.
 */
public final class Body {
    /** Size of a chunk; a socket is written one chunk at a time, through a buffer of this size. */
    static final int CHUNK_BYTES = 64 << 10;

    private static final Body EMPTY = new Body(List.of(), 0, Hold.UNLIMITED);

    private final Deque<ByteBuffer> mChunks;
    private final long mLength;
    private final Hold mHold;

    private Body(Iterable<ByteBuffer> chunks, long length, Hold hold) {
        mChunks = new ArrayDeque<>();
        chunks.forEach(mChunks::add);
        mLength = length;
        mHold = hold;
    }

    /**
     * Returns a body without bytes.
     *
     * @return the body
     */
    public static Body empty() {
        return EMPTY;
    }

    /**
     * Returns a body with the bytes of an array, which is not copied.
     *
     * @param bytes the bytes
     * @return the body
     */
    public static Body of(byte[] bytes) {
        return bytes.length == 0
                ? EMPTY
                : new Body(List.of(ByteBuffer.wrap(bytes)), bytes.length, Hold.UNLIMITED);
    }

    static Body of(Iterable<ByteBuffer> chunks, long length, Hold hold) {
        return new Body(chunks, length, hold);
    }

    // Operations

    /**
     * Returns the bytes in parts that a socket takes without a large buffer.
     *
     * @return the parts in order, each read once
     */
    public Iterator<ByteBuffer> parts() {
        Iterator<ByteBuffer> chunks = mChunks.iterator();
        return new Iterator<>() {
            private ByteBuffer mChunk = ByteBuffer.allocate(0);

            @Override
            public boolean hasNext() {
                return mChunk.hasRemaining() || chunks.hasNext();
            }

            @Override
            public ByteBuffer next() {
                if (!mChunk.hasRemaining()) {
                    mChunk = chunks.next().duplicate();
                }
                int size = Math.min(CHUNK_BYTES, mChunk.remaining());
                ByteBuffer part = mChunk.slice(mChunk.position(), size);
                mChunk.position(mChunk.position() + size);
                return part;
            }
        };
    }

    /**
     * Reads the body once and lets go of each chunk when it is read. The body is empty afterwards.
     *
     * @return the bytes
     */
    public InputStream drain() {
        return new InputStream() {
            @Override
            public int read() {
                byte[] one = new byte[1];
                return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
            }

            @Override
            public int read(byte[] target, int offset, int length) {
                while (!mChunks.isEmpty() && !mChunks.peek().hasRemaining()) {
                    mChunks.poll();
                }
                if (mChunks.isEmpty()) {
                    return -1;
                }
                int count = Math.min(length, mChunks.peek().remaining());
                mChunks.peek().get(target, offset, count);
                return count;
            }
        };
    }

    /**
     * Returns the bytes in parts, like {@link #parts}, and lets go of each chunk when its last part
     * is returned. The body is empty afterwards.
     *
     * @return the parts in order, each read once
     */
    public Iterator<ByteBuffer> drainParts() {
        return new Iterator<>() {
            @Override
            public boolean hasNext() {
                return !mChunks.isEmpty();
            }

            @Override
            public ByteBuffer next() {
                ByteBuffer chunk = mChunks.element();
                int size = Math.min(CHUNK_BYTES, chunk.remaining());
                ByteBuffer part = chunk.slice(chunk.position(), size);
                chunk.position(chunk.position() + size);
                if (!chunk.hasRemaining()) {
                    mChunks.remove();
                }
                return part;
            }
        };
    }

    // Accessors

    /**
     * Returns the length as received.
     *
     * @return the bytes
     */
    public long length() {
        return mLength;
    }

    /**
     * Returns the bytes that are held for this body and for what is read from it.
     *
     * @return the hold
     */
    public Hold hold() {
        return mHold;
    }

    /**
     * Copies the body into an array.
     *
     * @return the bytes
     */
    public byte[] toBytes() {
        byte[] bytes = new byte[Math.toIntExact(mLength)];
        int offset = 0;
        for (ByteBuffer chunk : mChunks) {
            int count = chunk.remaining();
            chunk.duplicate().get(bytes, offset, count);
            offset += count;
        }
        return bytes;
    }
}
