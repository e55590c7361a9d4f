package dev.cactusspan.forward;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Limits the memory that the response bodies of all attempts take together. Load pattern: several
 * targets send bodies without end at the same time; the largest body is dropped first, so that the
 * complete responses of other targets are not affected.
 */
final class BodyBudget {
    private final long mMaxBytes;
    private final Map<Attempt, Long> mBytes = new LinkedHashMap<>();
    private long mTotalBytes;

    BodyBudget(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Counts bytes that an attempt buffers. */
    void add(Attempt attempt, long bytes) {
        mBytes.merge(attempt, bytes, Long::sum);
        mTotalBytes += bytes;
    }

    /** Releases what an attempt buffers. */
    void release(Attempt attempt) {
        Long bytes = mBytes.remove(attempt);
        mTotalBytes -= bytes == null ? 0 : bytes;
    }

    /** Returns the attempt with the largest body, if all bodies together exceed the limit. */
    Optional<Attempt> findExcess() {
        return mTotalBytes <= mMaxBytes
                ? Optional.empty()
                : mBytes.entrySet().stream()
                        .max(Comparator.comparingLong(Map.Entry::getValue))
                        .map(Map.Entry::getKey);
    }
}
