package dev.cactusspan.benchmark;

import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.limit.WaitEstimate;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.routing.RetryBudget;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

/** Half of the capacity goes for ten seconds: retries with a budget against retries without. */
final class RetryExperiment {
    private static final double PER_S = 800;
    private static final double MEAN_MS = 100;
    private static final int SLOTS = 100;
    private static final double TIMEOUT_MS = 500;
    private static final int MAX_TRIES = 4;
    private static final double OUTAGE_FROM_MS = 10_000;
    private static final double OUTAGE_TO_MS = 20_000;
    private static final double RUN_MS = 60_000;
    private static final double WINDOW_MS = 1_000;
    private static final double GOOD_SHARE = 0.95;

    private final EventLoop mLoop = new EventLoop();
    private final SplittableRandom mRandom = new SplittableRandom(1);
    private final Backoff mBackoff = new Backoff(20, 1_000, new SplittableRandom(2));
    private final Deque<Try> mQueue = new ArrayDeque<>();
    private final RetryBudget mBudget;
    private final Target mTarget;
    private final WaitEstimate mEstimate = new WaitEstimate();
    private final int[] mTries = new int[(int) (RUN_MS / WINDOW_MS) + 1];
    private final int[] mArrived = new int[mTries.length];
    private final int[] mAnswered = new int[mTries.length];
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
                experiment.report(out, budget + target.mNote);
            }
        }
    }

    private void report(PrintStream out, String name) {
        double peak = 0;
        double answered = 0;
        double arrived = 0;
        int lastBad = 0;
        for (int i = 1; i < mTries.length - 1; i++) {
            peak = Math.max(peak, (double) mTries[i] / Math.max(1, mArrived[i]));
            boolean isOutage = i * WINDOW_MS >= OUTAGE_FROM_MS && i * WINDOW_MS < OUTAGE_TO_MS;
            answered += isOutage ? mAnswered[i] : 0;
            arrived += isOutage ? mArrived[i] : 0;
            boolean isBad = mAnswered[i] < GOOD_SHARE * mArrived[i];
            lastBad = isBad && i * WINDOW_MS >= OUTAGE_TO_MS ? i : lastBad;
        }
        double recoveredS = lastBad == 0 ? 0 : ((lastBad + 1) * WINDOW_MS - OUTAGE_TO_MS) / 1_000;
        out.printf("%-20s %18.2f %20.3f %22.0f%n", name, peak, answered / arrived, recoveredS);
    }

    private int slots() {
        boolean isOutage = mLoop.nowMs() >= OUTAGE_FROM_MS && mLoop.nowMs() < OUTAGE_TO_MS;
        return isOutage ? SLOTS / 2 : SLOTS;
    }

    private int window() {
        return (int) (mLoop.nowMs() / WINDOW_MS);
    }

    private void arrive() {
        mLoop.schedule(
                Samples.exponential(mRandom, 1_000 / PER_S),
                () -> {
                    mArrived[window()]++;
                    mBudget.onFirstTry();
                    attempt(1);
                    arrive();
                });
    }

    private void attempt(int number) {
        mTries[window()]++;
        Try attempt = new Try(number);
        if (mTarget == Target.LOOKS_AHEAD && isLate()) {
            timeout(attempt);
            return;
        }
        mQueue.add(attempt);
        mLoop.schedule(TIMEOUT_MS, () -> timeout(attempt));
        serve();
    }

    private boolean isLate() {
        return mEstimate.isLate(
                RequestClass.INTERACTIVE, mQueue.size(), slots(), (long) TIMEOUT_MS);
    }

    /** The target does not know of the time-out and works on, as one that cannot cancel. */
    private void timeout(Try attempt) {
        if (attempt.mIsDone) {
            return;
        }
        attempt.mIsGivenUp = true;
        if (attempt.mNumber < MAX_TRIES && mBudget.tryRetry()) {
            double delayMs = mBackoff.delayMs(attempt.mNumber);
            mLoop.schedule(delayMs, () -> attempt(attempt.mNumber + 1));
        }
    }

    private void serve() {
        while (mBusy < slots() && !mQueue.isEmpty()) {
            Try attempt = mQueue.poll();
            if (mTarget != Target.PLAIN && attempt.mIsGivenUp) {
                continue;
            }
            mBusy++;
            double tookMs = Samples.exponential(mRandom, MEAN_MS);
            mLoop.schedule(
                    tookMs,
                    () -> {
                        mEstimate.finished(RequestClass.INTERACTIVE, (long) tookMs);
                        mBusy--;
                        attempt.mIsDone = true;
                        mAnswered[window()] += attempt.mIsGivenUp ? 0 : 1;
                        serve();
                    });
        }
    }

    /** What the target does about work that cannot be answered in time. */
    private enum Target {
        PLAIN(""),
        DROPS_GIVEN_UP(", queue drops"),
        LOOKS_AHEAD(", looks ahead");

        private final String mNote;

        Target(String note) {
            mNote = note;
        }
    }

    private static final class Try {
        private final int mNumber;
        private boolean mIsDone;
        private boolean mIsGivenUp;

        Try(int number) {
            mNumber = number;
        }
    }
}
