package dev.cactusspan.side;

import dev.cactusspan.wire.Message;

/** When an entry gets its next report of load. */
final class ReportTimes {
    private final long mIntervalMs;
    private long mNextMs;
    private Message.Load mLast;

    ReportTimes(long intervalMs) {
        mIntervalMs = intervalMs;
    }

    /** Tells whether a report is due, and if so counts it as sent. */
    boolean take(Message.Load load, long nowMs, boolean isUrgent) {
        boolean isDue = nowMs >= mNextMs && !load.equals(mLast);
        if (!isDue && !isUrgent) {
            return false;
        }
        mNextMs = nowMs + mIntervalMs;
        mLast = load;
        return true;
    }
}
