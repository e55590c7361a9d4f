package dev.cactusspan.intake;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Counts refused callers, and passes on one summary an interval, so that a crowd doesn't fill the
 * log. Thread-safe.
 */
public final class IntakeReport {
    /** Least time between two summaries, in milliseconds. */
    private static final long INTERVAL_MS = 5_000;

    private final Consumer<Refusal> mCounter;
    private final BiConsumer<Map<Refusal, Integer>, Long> mLog;
    private final Map<Refusal, Integer> mCounts = new EnumMap<>(Refusal.class);
    private long mNextMs = Long.MIN_VALUE;

    /**
     * Creates a report.
     *
     * @param counter receives each refusal
     * @param log receives the counts of an interval, and the time in milliseconds
     */
    public IntakeReport(Consumer<Refusal> counter, BiConsumer<Map<Refusal, Integer>, Long> log) {
        mCounter = counter;
        mLog = log;
    }

    /**
     * Adds a refusal.
     *
     * @param refusal the reason
     * @param nowMs the steady clock in milliseconds
     */
    public synchronized void add(Refusal refusal, long nowMs) {
        mCounter.accept(refusal);
        mCounts.merge(refusal, 1, Integer::sum);
        tick(nowMs);
    }

    /**
     * Passes on the counts once they are due.
     *
     * @param nowMs the steady clock in milliseconds
     */
    public synchronized void tick(long nowMs) {
        if (mCounts.isEmpty() || nowMs < mNextMs) {
            return;
        }
        mNextMs = nowMs + INTERVAL_MS;
        mLog.accept(Map.copyOf(mCounts), nowMs);
        mCounts.clear();
    }
}
