package dev.cactusspan.benchmark;

import dev.cactusspan.sample.HedgePolicy;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** Compares hedging policies on a step of 4,096 samples with a few slow runs. */
final class HedgeExperiment {
    private static final int SAMPLES = 4_096;
    private static final int SLOTS = 512;
    private static final double MEAN_MS = 20_000;
    private static final double SPREAD = 0.4;
    private static final double SLOW_SHARE = 0.01;
    private static final double SLOW_FACTOR = 10;
    private static final double CHECK_INTERVAL_MS = 50;

    private final EventLoop mLoop = new EventLoop();
    private final SplittableRandom mRandom;
    private final HedgePolicy mPolicy;
    private final Deque<Integer> mPending = new ArrayDeque<>();
    private final Map<Integer, Double> mStarted = new HashMap<>();
    private final Map<Integer, Integer> mCopies = new HashMap<>();
    private int mBusy;
    private int mStartedRuns;
    private int mFinished;
    private double mEndMs;

    private HedgeExperiment(HedgePolicy policy, long seed) {
        mPolicy = policy;
        mRandom = new SplittableRandom(seed);
    }

    static void run(PrintStream out) {
        out.println("hedging: 4,096 samples on 512 slots, one run in 100 takes 10 times as long");
        out.printf("%-34s %6s %14s %14s%n", "policy", "seed", "step (s)", "runs/sample");
        for (long seed = 1; seed <= 3; seed++) {
            new HedgeExperiment(HedgePolicy.never(), seed).report(out, "never", seed);
            for (double factor : new double[] {2.0, 3.0, 5.0}) {
                String name = "late at " + factor + " x median, 5 in 100";
                new HedgeExperiment(new HedgePolicy(factor, 0.05), seed).report(out, name, seed);
            }
        }
    }

    private void report(PrintStream out, String name, long seed) {
        for (int i = 0; i < SAMPLES; i++) {
            mPending.add(i);
        }
        fill();
        hedgeLateRuns();
        mLoop.runUntil(1e9);
        out.printf(
                "%-34s %6d %14.1f %14.3f%n",
                name, seed, mEndMs / 1_000, (double) mStartedRuns / SAMPLES);
    }

    private void fill() {
        while (mBusy < SLOTS && !mPending.isEmpty()) {
            int slot = mPending.poll();
            mStarted.put(slot, mLoop.nowMs());
            start(slot);
        }
    }

    private void hedgeLateRuns() {
        if (mPending.isEmpty()) {
            for (Map.Entry<Integer, Double> run : Map.copyOf(mStarted).entrySet()) {
                long runningMs = (long) (mLoop.nowMs() - run.getValue());
                boolean isSingle = mCopies.get(run.getKey()) == 1;
                if (isSingle && mBusy < SLOTS && mPolicy.tryHedge(runningMs, SAMPLES)) {
                    start(run.getKey());
                }
            }
        }
        if (mFinished < SAMPLES) {
            mLoop.schedule(CHECK_INTERVAL_MS, this::hedgeLateRuns);
        }
    }

    private void start(int slot) {
        mBusy++;
        mStartedRuns++;
        mCopies.merge(slot, 1, Integer::sum);
        double gauss = 0;
        for (int i = 0; i < 12; i++) {
            gauss += mRandom.nextDouble();
        }
        double runMs = MEAN_MS * Math.exp(SPREAD * (gauss - 6));
        double factor = mRandom.nextDouble() < SLOW_SHARE ? SLOW_FACTOR : 1;
        mLoop.schedule(runMs * factor, () -> end(slot));
    }

    private void end(int slot) {
        mBusy--;
        Double startedMs = mStarted.remove(slot);
        if (startedMs != null) {
            mFinished++;
            mEndMs = mLoop.nowMs();
            mPolicy.recordDuration((long) (mLoop.nowMs() - startedMs));
        }
        fill();
    }
}
