package dev.cactusspan.side;

import dev.cactusspan.wire.Message;

/** When an entry gets its next report of load. */
final class LoadReportSchedule {
    private final long mIntervalMs;
    private long mNextMs;
    private Message.Load mLast;

    LoadReportSchedule(long intervalMs) {
        mIntervalMs = intervalMs;
    }

    /** Tells whether a report is due, and if so counts it as sent. */
    boolean markSentIfDue(Message.Load load, long nowMs, boolean isUrgent) {
        boolean isDue = nowMs >= mNextMs && !load.equals(mLast);
        if (!isDue && !isUrgent) {
            return false;
        }
        mNextMs = nowMs + mIntervalMs;
        mLast = load;
        return true;
    }
}
