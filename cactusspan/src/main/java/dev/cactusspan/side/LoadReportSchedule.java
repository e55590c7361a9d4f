package dev.cactusspan.side;

import dev.cactusspan.wire.Message;

/** Decides when the next load report is sent to an entry. */
final class LoadReportSchedule {
    private final long mIntervalMs;
    private long mNextMs;
    private Message.Load mLast;

    LoadReportSchedule(long intervalMs) {
        mIntervalMs = intervalMs;
    }

    /** Returns whether a report is due. If it is, the report counts as sent. */
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
