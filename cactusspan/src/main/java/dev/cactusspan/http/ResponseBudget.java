package dev.cactusspan.http;

import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the memory that parts of all responses take together while they are received, such as
 * their heads. Load pattern: many servers in trouble send long responses that do not end, each
 * within its own limit; the largest is dropped first, so that the responses of other servers are
 * not affected. Used on the I/O thread.
 */
final class ResponseBudget {
    private final long mMaxBytes;
    private final long mSmallBytes;
    private final Set<Hold> mHolds = new LinkedHashSet<>();
    private long mHeldBytes;

    /**
     * Creates a budget.
     *
     * @param maxBytes bytes of all responses beyond which the largest is dropped
     * @param smallBytes bytes of a response up to which it is never dropped
     */
    ResponseBudget(long maxBytes, long smallBytes) {
        mMaxBytes = maxBytes;
        mSmallBytes = smallBytes;
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

    /** Returns a hold that is closed, as between two responses. */
    Hold closed() {
        return new Hold(() -> {});
    }

    /** Returns the bytes that are held now. */
    long heldBytes() {
        return mHeldBytes;
    }

    /** What one response holds. */
    final class Hold implements AutoCloseable {
        private Runnable mOnDropped;
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
                Hold largest = Collections.max(mHolds, Comparator.comparingLong(h -> h.mBytes));
                if (largest.mBytes <= mSmallBytes) {
                    return;
                }
                largest.drop();
            }
        }

        private void drop() {
            Runnable onDropped = mOnDropped;
            close();
            onDropped.run();
        }

        /** Returns false once the response has ended or was dropped. */
        boolean isOpen() {
            return mHolds.contains(this);
        }

        @Override
        public void close() {
            if (mHolds.remove(this)) {
                mHeldBytes -= mBytes;
                // An idle connection keeps its last hold, but not the request behind it.
                mOnDropped = () -> {};
            }
        }
    }
}
