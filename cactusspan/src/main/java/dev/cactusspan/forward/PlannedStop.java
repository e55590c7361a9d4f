package dev.cactusspan.forward;

import dev.cactusspan.id.RouteId;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Decides which requests may still be sent before a planned stop. Load pattern: clients go on using
 * their open connections while the process stops; a request that is sent too late runs, and its
 * answer is lost with the process. A request may be sent if it ends in time whatever happens,
 * because its deadline passes before, or if the slowest of the latest requests of its route would.
 */
final class PlannedStop {
    /**
     * Part by which a request may take longer than the slowest of the latest ones: targets get the
     * requests of other stopping processes as well.
     */
    private static final double SLACK = 1.25;

    /** Time for which the slowest request of a route counts at least, in milliseconds. */
    private static final long WINDOW_MS = 30_000;

    private final Map<RouteId, Slowest> mSlowest = new HashMap<>();
    private OptionalLong mEndMs = OptionalLong.empty();

    /** The slowest requests of the window that runs and of the one before it. */
    private record Slowest(long window, long currentMs, long previousMs) {
        Slowest at(long nowWindow) {
            if (nowWindow == window) {
                return this;
            }
            return new Slowest(nowWindow, 0, nowWindow == window + 1 ? currentMs : 0);
        }

        OptionalLong durationMs() {
            long longestMs = Math.max(currentMs, previousMs);
            return longestMs > 0 ? OptionalLong.of(longestMs) : OptionalLong.empty();
        }
    }

    /**
     * Begins the stop.
     *
     * @param endMs when the last answers are written, on the monotonic clock in milliseconds
     */
    void begin(long endMs) {
        mEndMs = OptionalLong.of(endMs);
    }

    /** Records how long a request took that may have run, in milliseconds. */
    void record(RouteId route, long durationMs, long nowMs) {
        Slowest slowest = slowest(route, nowMs);
        long currentMs = Math.max(slowest.currentMs(), Math.max(1, durationMs));
        mSlowest.put(route, new Slowest(slowest.window(), currentMs, slowest.previousMs()));
    }

    /** Tells whether a request would end before the process does, if it were sent now. */
    boolean maySend(RouteId route, long deadlineMs, long nowMs) {
        if (mEndMs.isEmpty()) {
            return true;
        }
        long leftMs = mEndMs.getAsLong() - nowMs;
        OptionalLong slowestMs = slowest(route, nowMs).durationMs();
        boolean isUsuallyInTime = slowestMs.isPresent() && SLACK * slowestMs.getAsLong() <= leftMs;
        return isUsuallyInTime || deadlineMs - nowMs <= leftMs;
    }

    private Slowest slowest(RouteId route, long nowMs) {
        long window = nowMs / WINDOW_MS;
        return mSlowest.getOrDefault(route, new Slowest(window, 0, 0)).at(window);
    }
}
