package dev.cactusspan.duty;

import dev.cactusspan.id.AccountId;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Request counts of each client account, by the wall-clock window in which the requests started to
 * run.
 */
final class UsageCounts {
    private final long mWindowMs;
    private final TreeMap<Long, Map<AccountId, Long>> mCounts = new TreeMap<>();

    UsageCounts(long windowMs) {
        mWindowMs = windowMs;
    }

    void count(AccountId account, long wallMs) {
        mCounts.computeIfAbsent(windowOf(wallMs), w -> new HashMap<>())
                .merge(account, 1L, Long::sum);
    }

    /** Takes back a request that was counted in a window, unless the window is already reported. */
    void uncount(AccountId account, long window) {
        Map<AccountId, Long> counts = mCounts.getOrDefault(window, new HashMap<>());
        counts.computeIfPresent(account, (a, count) -> count > 1 ? count - 1 : null);
    }

    long windowOf(long wallMs) {
        return Math.floorDiv(wallMs, mWindowMs);
    }

    long endMs(long window) {
        return (window + 1) * mWindowMs;
    }

    Map<AccountId, Long> counts(long window) {
        return Map.copyOf(mCounts.getOrDefault(window, Map.of()));
    }

    void discardUpTo(long window) {
        mCounts.headMap(window, true).clear();
    }
}
