package dev.cactusspan.intake;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * Limits the memory that callers make a process hold. Load pattern: many callers send bodies of
 * legal size at once and stop before their end, or read their answers slowly. Small and medium
 * sizes have a share each that larger ones cannot take, so that a crowd of large bodies does not
 * starve ordinary requests. Thread-safe.
 */
public final class MemoryBudget {
    /**
     * Part of the heap that callers may fill. The other half holds the code's own state (about 12
     * MB), buffered responses of targets (16 MB) and room to collect garbage.
     */
    private static final int HEAP_DIVISOR = 2;

    /**
     * Part of the budget kept for each class below the largest. What remains of a heap of 96 MB
     * takes one body of the platform's largest size, 32 MB.
     */
    private static final int SHARE_DIVISOR = 8;

    private final long mTotalBytes;
    private final long mShareBytes;
    private final Map<SizeClass, Long> mHeldBytes = new EnumMap<>(SizeClass.class);
    private long mPeakBytes;

    /**
     * Creates a budget.
     *
     * @param totalBytes its size
     */
    public MemoryBudget(long totalBytes) {
        mTotalBytes = totalBytes;
        mShareBytes = totalBytes / SHARE_DIVISOR;
    }

    /**
     * Returns the budget of a process.
     *
     * @param heapBytes maximum size of its heap
     * @return the budget
     */
    public static MemoryBudget ofHeap(long heapBytes) {
        return new MemoryBudget(heapBytes / HEAP_DIVISOR);
    }

    // Operations

    /**
     * Holds bytes if there is room.
     *
     * @param bytes how many
     * @return the hold, empty if there is no room
     */
    public Optional<Hold> reserve(long bytes) {
        BudgetHold hold = new BudgetHold();
        return hold.resize(bytes) ? Optional.of(hold) : Optional.empty();
    }

    /**
     * Returns a hold of bytes that are in memory in any case, even beyond the budget; larger
     * requests find no room until the sum is below it again.
     *
     * @return sets the number of bytes
     */
    public LongConsumer standing() {
        BudgetHold hold = new BudgetHold();
        return bytes -> {
            synchronized (this) {
                hold.set(bytes);
                mPeakBytes = Math.max(mPeakBytes, heldBytes());
            }
        };
    }

    private boolean fits(SizeClass changed) {
        if (changed != SizeClass.LARGE && held(changed) <= mShareBytes) {
            return true;
        }
        long excessSmall = Math.max(0, held(SizeClass.SMALL) - mShareBytes);
        long excessMedium = Math.max(0, held(SizeClass.MEDIUM) - mShareBytes);
        long sharedBytes = mTotalBytes - 2 * mShareBytes;
        return excessSmall + excessMedium + held(SizeClass.LARGE) <= sharedBytes;
    }

    private long held(SizeClass sizeClass) {
        return mHeldBytes.getOrDefault(sizeClass, 0L);
    }

    // Accessors

    /**
     * Returns the size of the budget.
     *
     * @return the bytes
     */
    public long totalBytes() {
        return mTotalBytes;
    }

    /**
     * Returns what is held.
     *
     * @return the bytes
     */
    public synchronized long heldBytes() {
        return mHeldBytes.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Returns the most that was ever held.
     *
     * @return the bytes
     */
    public synchronized long peakBytes() {
        return mPeakBytes;
    }

    /** Bytes of this budget. */
    private final class BudgetHold implements Hold {
        private long mBytes;
        private boolean mIsClosed;

        @Override
        public boolean resize(long bytes) {
            synchronized (MemoryBudget.this) {
                long before = mBytes;
                if (mIsClosed) {
                    return false;
                }
                set(bytes);
                if (bytes > before && !fits(SizeClass.of(bytes))) {
                    set(before);
                    return false;
                }
                mPeakBytes = Math.max(mPeakBytes, heldBytes());
                return true;
            }
        }

        private void set(long bytes) {
            mHeldBytes.merge(SizeClass.of(mBytes), -mBytes, Long::sum);
            mBytes = bytes;
            mHeldBytes.merge(SizeClass.of(mBytes), mBytes, Long::sum);
        }

        @Override
        public long bytes() {
            synchronized (MemoryBudget.this) {
                return mBytes;
            }
        }

        @Override
        public void close() {
            synchronized (MemoryBudget.this) {
                set(0);
                mIsClosed = true;
            }
        }
    }
}
