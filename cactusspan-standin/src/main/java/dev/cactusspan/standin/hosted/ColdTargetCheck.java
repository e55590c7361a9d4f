package dev.cactusspan.standin.hosted;

import java.util.ArrayDeque;
import java.util.Deque;

/** Checks that a cold target gets no more requests in any second than it is allowed. */
final class ColdTargetCheck {
    /** How many times the rate that it bears a cold target may get. */
    static final double OVERAGE = 1.5;

    private static final int EXTRA_REQUESTS = 5;
    private static final long WINDOW_MS = 1_000;
    private static final long NS_PER_MS = 1_000_000;

    private final String mTarget;
    private final double mPerS;
    private final long mUntilMs;
    private final ObservationLog mObservations;
    private final Deque<Long> mArrivalsMs = new ArrayDeque<>();

    ColdTargetCheck(String target, double perS, long coldMs, ObservationLog observations) {
        mTarget = target;
        mPerS = perS;
        mUntilMs = System.nanoTime() / NS_PER_MS + coldMs;
        mObservations = observations;
    }

    synchronized void recordRequest(long nowMs) {
        if (nowMs >= mUntilMs) {
            return;
        }
        mArrivalsMs.add(nowMs);
        while (mArrivalsMs.peek() <= nowMs - WINDOW_MS) {
            mArrivalsMs.poll();
        }
        double allowed = OVERAGE * mPerS + EXTRA_REQUESTS;
        if (mArrivalsMs.size() > allowed) {
            mObservations.addViolation(
                    mTarget
                            + ": "
                            + mArrivalsMs.size()
                            + " requests in a second while it was cold, "
                            + allowed
                            + " are allowed");
            mArrivalsMs.clear();
        }
    }
}
