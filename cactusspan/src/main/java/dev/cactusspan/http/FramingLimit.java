package dev.cactusspan.http;

/**
 * Limits the bytes of a request in chunks between two bytes of its body and after the last: sizes
 * and extensions of chunks, and trailers. Load pattern: crowds that end a body and then send
 * trailers without end, which the parser keeps.
 */
final class FramingLimit {
    /**
     * Memory of a byte of framing. The shortest trailer has five bytes; its entry, its name and its
     * value take about 300.
     */
    static final long MEMORY_FACTOR = 64;

    /** The size of a chunk, or a trailer such as a digest. */
    private static final long SMALL_BYTES = 128;

    private final long mMaxBytes;
    private long mBodyEndBytes;
    private long mBytes;
    private long mHeldBytes;

    /**
     * Creates the limit of a request.
     *
     * @param maxBytes the most bytes without one of the body
     * @param consumedBytes bytes that the parser has consumed on the connection so far
     */
    FramingLimit(long maxBytes, long consumedBytes) {
        mMaxBytes = maxBytes;
        mBodyEndBytes = consumedBytes;
    }

    // Operations

    /** Notes that the parser has consumed bytes up to a position, the last of them of the body. */
    void onBody(long consumedBytes) {
        mBodyEndBytes = consumedBytes;
        mBytes = 0;
    }

    /** Notes that the parser has consumed bytes up to a position, and found none of the body. */
    void onFraming(long consumedBytes) {
        mBytes = consumedBytes - mBodyEndBytes;
    }

    /** Returns the memory to be held beyond what was returned before. */
    long takeMissingBytes() {
        long missingBytes = Math.max(0, mBytes * MEMORY_FACTOR - mHeldBytes);
        mHeldBytes += missingBytes;
        return missingBytes;
    }

    // Accessors

    /** Returns whether there are more bytes than allowed. */
    boolean isExceeded() {
        return mBytes > mMaxBytes;
    }

    /**
     * Returns whether so little is kept that the connection may stay open until its client has read
     * an answer.
     */
    boolean isSmall() {
        return mBytes <= SMALL_BYTES;
    }
}
