package dev.cactusspan.intake;

/**
 * Sizes of what callers make a process hold; a share of the budget is kept for each smaller one.
 */
public enum SizeClass {
    /** Requests as ordinary callers send them: quotes and prompts take a few KB. */
    SMALL(64 << 10),
    /** Larger requests, batches of a step included, which take some hundred KB. */
    MEDIUM(2 << 20),
    /** All above. */
    LARGE(Long.MAX_VALUE);

    private final long mMaxBytes;

    SizeClass(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Returns the class of a size.
     *
     * @param bytes the size
     * @return its class
     */
    public static SizeClass of(long bytes) {
        return bytes <= SMALL.mMaxBytes ? SMALL : bytes <= MEDIUM.mMaxBytes ? MEDIUM : LARGE;
    }
}
