package dev.cactusspan.platform;

import dev.cactusspan.observe.Decision;
import dev.cactusspan.observe.Telemetry;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the calls to the store by purpose, as each of them has a price. The counts are metrics,
 * and a log line says them at intervals.
 */
final class StoreCalls {
    /** Interval of the log lines, in nanoseconds. */
    private static final long REPORT_INTERVAL_NS = 10_000_000_000L;

    /** Number of segments of a key that name a purpose; those behind it are ids. */
    private static final int PURPOSE_SEGMENTS = 2;

    private final Telemetry mTelemetry;
    private final Map<String, Long> mCounts = new TreeMap<>();
    private long mReportedNs = System.nanoTime();

    StoreCalls(Telemetry telemetry) {
        mTelemetry = telemetry;
    }

    /**
     * Counts a call.
     *
     * @param call kind of call
     * @param key key or prefix that it concerns, empty if none
     */
    synchronized void count(String call, String key) {
        String purpose = key.isEmpty() ? call : call + " " + subject(key);
        mTelemetry.count("store_calls_total", "purpose", purpose);
        mCounts.merge(purpose, 1L, Long::sum);
        long nowNs = System.nanoTime();
        if (nowNs - mReportedNs >= REPORT_INTERVAL_NS) {
            mReportedNs = nowNs;
            Decision.of("store_calls").with("since_start", mCounts.toString()).info();
        }
    }

    private static String subject(String key) {
        int end = -1;
        for (int i = 0; i < PURPOSE_SEGMENTS; i++) {
            int next = key.indexOf('/', end + 1);
            if (next < 0) {
                return end < 0 ? key : key.substring(0, end + 1);
            }
            end = next;
        }
        return key.substring(0, end + 1);
    }
}
