package dev.cactusspan.benchmark;

import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.limit.WaitEstimate;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.routing.RetryBudget;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

/**
 * Compares retries with and without a budget while half of the capacity is lost for ten seconds.
 */
final class RetryExperiment {
    private static final double REQUESTS_PER_S = 800;
    private static final double MEAN_MS = 100;
    private static final int SLOTS = 100;
    private static final double TIMEOUT_MS = 500;
    private static final int MAX_ATTEMPTS = 4;
    private static final double OUTAGE_FROM_MS = 10_000;
    private static final double OUTAGE_TO_MS = 20_000;
    private static final double RUN_MS = 60_000;
    private static final double WINDOW_MS = 1_000;
    private static final double GOOD_SHARE = 0.95;

    private final EventLoop mLoop = new EventLoop();
    private final SplittableRandom mRandom = new SplittableRandom(1);
    private final Backoff mBackoff = new Backoff(20, 1_000, new SplittableRandom(2));
    private final Deque<Attempt> mQueue = new ArrayDeque<>();
    private final RetryBudget mBudget;
    private final Target mTarget;
    private final WaitEstimate mEstimate = new WaitEstimate();
    private final int[] mAttempts = new int[(int) (RUN_MS / WINDOW_MS) + 1];
    private final int[] mArrived = new int[mAttempts.length];
    private final int[] mCompleted = new int[mAttempts.length];
    private int mBusy;

    private RetryExperiment(int percent, Target target) {
        mTarget = target;
        mBudget = new RetryBudget(percent);
    }

    static void run(PrintStream out) {
        out.println("retries: 800/s on capacity 1,000/s; half of it goes from 10 s to 20 s");
        out.printf(
                "%-20s %18s %20s %22s%n",
                "budget", "peak tries/request", "answered in outage", "normal again after (s)");
        for (Target target : Target.values()) {
            for (int percent : new int[] {100_000, 50, 20, 10, 0}) {
                RetryExperiment experiment = new RetryExperiment(percent, target);
                experiment.arrive();
                experiment.mLoop.runUntil(RUN_MS);
                String budget = percent >= 100_000 ? "none" : percent + " %";
                experiment.report(out, budget + target.mSuffix);
            }
        }
    }

    private void report(PrintStream out, String name) {
        double peak = 0;
        double completed = 0;
        double arrived = 0;
        int lastBad = 0;
        for (int i = 1; i < mAttempts.length - 1; i++) {
            peak = Math.max(peak, (double) mAttempts[i] / Math.max(1, mArrived[i]));
            boolean isOutage = i * WINDOW_MS >= OUTAGE_FROM_MS && i * WINDOW_MS < OUTAGE_TO_MS;
            completed += isOutage ? mCompleted[i] : 0;
            arrived += isOutage ? mArrived[i] : 0;
            boolean isBad = mCompleted[i] < GOOD_SHARE * mArrived[i];
            lastBad = isBad && i * WINDOW_MS >= OUTAGE_TO_MS ? i : lastBad;
        }
        double recoveredS = lastBad == 0 ? 0 : ((lastBad + 1) * WINDOW_MS - OUTAGE_TO_MS) / 1_000;
        out.printf("%-20s %18.2f %20.3f %22.0f%n", name, peak, completed / arrived, recoveredS);
    }

    private int availableSlots() {
        boolean isOutage = mLoop.nowMs() >= OUTAGE_FROM_MS && mLoop.nowMs() < OUTAGE_TO_MS;
        return isOutage ? SLOTS / 2 : SLOTS;
    }

    private int window() {
        return (int) (mLoop.nowMs() / WINDOW_MS);
    }

    private void arrive() {
        mLoop.schedule(
                Samples.exponential(mRandom, 1_000 / REQUESTS_PER_S),
                () -> {
                    mArrived[window()]++;
                    mBudget.onFirstTry();
                    attempt(1);
                    arrive();
                });
    }

    private void attempt(int number) {
        mAttempts[window()]++;
        Attempt attempt = new Attempt(number);
        if (mTarget == Target.PREDICTS_WAIT && isLate()) {
            timeout(attempt);
            return;
        }
        mQueue.add(attempt);
        mLoop.schedule(TIMEOUT_MS, () -> timeout(attempt));
        serve();
    }

    private boolean isLate() {
        return mEstimate.isLate(
                RequestClass.INTERACTIVE, mQueue.size(), availableSlots(), (long) TIMEOUT_MS);
    }

    /**
     * Abandons an attempt. The target is not notified of the time-out and continues, as a target
     * that cannot cancel does.
     */
    private void timeout(Attempt attempt) {
        if (attempt.mIsDone) {
            return;
        }
        attempt.mIsAbandoned = true;
        if (attempt.mNumber < MAX_ATTEMPTS && mBudget.tryRetry()) {
            double delayMs = mBackoff.delayMs(attempt.mNumber);
            mLoop.schedule(delayMs, () -> attempt(attempt.mNumber + 1));
        }
    }

    private void serve() {
        while (mBusy < availableSlots() && !mQueue.isEmpty()) {
            Attempt attempt = mQueue.poll();
            if (mTarget != Target.PLAIN && attempt.mIsAbandoned) {
                continue;
            }
            mBusy++;
            double serviceMs = Samples.exponential(mRandom, MEAN_MS);
            mLoop.schedule(
                    serviceMs,
                    () -> {
                        mEstimate.recordDuration(RequestClass.INTERACTIVE, (long) serviceMs);
                        mBusy--;
                        attempt.mIsDone = true;
                        mCompleted[window()] += attempt.mIsAbandoned ? 0 : 1;
                        serve();
                    });
        }
    }

    /** How the target handles work that cannot finish in time. */
    private enum Target {
        PLAIN(""),
        DROPS_ABANDONED(", queue drops"),
        PREDICTS_WAIT(", looks ahead");

        private final String mSuffix;

        Target(String suffix) {
            mSuffix = suffix;
        }
    }

    private static final class Attempt {
        private final int mNumber;
        private boolean mIsDone;
        private boolean mIsAbandoned;

        Attempt(int number) {
            mNumber = number;
        }
    }
}
