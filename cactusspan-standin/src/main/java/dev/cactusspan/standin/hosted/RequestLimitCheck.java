package dev.cactusspan.standin.hosted;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Checks that a target receives no more requests than the limit that it names allows: half as many
 * again in any window, and a few. Processes have some time to learn of the limit first.
 */
final class RequestLimitCheck {
    private static final long WINDOW_MS = 4_000;
    private static final long LEARN_MS = 4_000;
    private static final double TOLERANCE = 1.5;
    private static final int EXTRA_REQUESTS = 5;
    private static final double MS_PER_S = 1_000.0;

    private final String mTarget;
    private final double mLimitPerS;
    private final ObservationLog mObservations;
    private final Deque<Long> mArrivalsMs = new ArrayDeque<>();
    private long mFirstMs = -1;

    RequestLimitCheck(String target, double limitPerS, ObservationLog observations) {
        mTarget = target;
        mLimitPerS = limitPerS;
        mObservations = observations;
    }

    synchronized void recordRequest(long nowMs) {
        if (mFirstMs < 0) {
            mFirstMs = nowMs;
        }
        if (nowMs < mFirstMs + LEARN_MS) {
            return;
        }
        mArrivalsMs.add(nowMs);
        while (mArrivalsMs.peek() <= nowMs - WINDOW_MS) {
            mArrivalsMs.poll();
        }
        double allowed = TOLERANCE * mLimitPerS * WINDOW_MS / MS_PER_S + EXTRA_REQUESTS;
        if (mArrivalsMs.size() > allowed) {
            mObservations.addViolation(
                    mTarget
                            + ": "
                            + mArrivalsMs.size()
                            + " requests in "
                            + WINDOW_MS
                            + " ms, "
                            + allowed
                            + " are allowed");
            mArrivalsMs.clear();
        }
    }
}
