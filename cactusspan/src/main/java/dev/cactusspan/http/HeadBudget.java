package dev.cactusspan.http;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the memory that the heads and trailers of all responses take together while they are
 * received. Load pattern: many targets in trouble send long heads that do not end, each within its
 * own limit; the largest is dropped first, so that the responses of other targets are not affected.
 * Used on the I/O thread.
 */
final class HeadBudget {
    /** Memory for all heads: a twelfth of the smallest heap. */
    static final long MAX_BYTES = 8 << 20;

    private final long mMaxBytes;
    private final Set<Hold> mHolds = new LinkedHashSet<>();
    private long mHeldBytes;

    HeadBudget(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Starts to count a response.
     *
     * @param onDropped gives the response up
     * @return what it holds, to be closed at its end
     */
    Hold open(Runnable onDropped) {
        Hold hold = new Hold(onDropped);
        mHolds.add(hold);
        return hold;
    }

    /** Returns the bytes that are held now. */
    long heldBytes() {
        return mHeldBytes;
    }

    /** What one response holds. */
    final class Hold implements AutoCloseable {
        private final Runnable mOnDropped;
        private long mBytes;

        private Hold(Runnable onDropped) {
            mOnDropped = onDropped;
        }

        /** Holds more bytes, and drops the largest responses until there is memory for them. */
        void grow(long bytes) {
            if (!isOpen()) {
                return;
            }
            mBytes += bytes;
            mHeldBytes += bytes;
            while (mHeldBytes > mMaxBytes) {
                mHolds.stream()
                        .max(Comparator.comparingLong(hold -> hold.mBytes))
                        .ifPresent(Hold::drop);
            }
        }

        private void drop() {
            close();
            mOnDropped.run();
        }

        /** Returns false once the response has ended or was dropped. */
        boolean isOpen() {
            return mHolds.contains(this);
        }

        @Override
        public void close() {
            if (mHolds.remove(this)) {
                mHeldBytes -= mBytes;
            }
        }
    }
}
