package dev.cactusspan.http;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the bytes of a body that were passed on but not consumed. Load pattern: a server sends
 * faster than its response is handled, or than a slow client reads it; the server is made to wait
 * before the process runs out of memory. Thread-safe.
 */
final class ReadWindow {
    /** Maximum bytes of one response that wait to be consumed. */
    static final int MAX_UNCONSUMED_BYTES = 64 << 10;

    private final AtomicInteger mUnconsumedBytes = new AtomicInteger();

    /** Counts bytes that are passed on. */
    void add(int bytes) {
        mUnconsumedBytes.addAndGet(bytes);
    }

    /**
     * Counts bytes that were consumed.
     *
     * @param bytes how many
     * @return true if this opens a window that was closed
     */
    boolean consume(int bytes) {
        int after = mUnconsumedBytes.addAndGet(-bytes);
        return after < MAX_UNCONSUMED_BYTES && after + bytes >= MAX_UNCONSUMED_BYTES;
    }

    /** Returns whether more bytes may be read. */
    boolean isOpen() {
        return mUnconsumedBytes.get() < MAX_UNCONSUMED_BYTES;
    }
}
