package dev.cactusspan.benchmark;

import dev.cactusspan.capacity.AimdLimit;
import dev.cactusspan.capacity.ConcurrencyLimit;
import dev.cactusspan.capacity.FixedLimit;
import dev.cactusspan.capacity.GradientLimit;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Compares limits on the work at a target: its own slots, additive increase with multiplicative
 * decrease, and the gradient. Of the targets of a service, half slow down beyond a quarter of their
 * slots, and two turn slow for ten seconds; several processes send to all of them, and none knows
 * what the others have in flight.
 */
final class CapacityExperiment {
    private static final int PROCESSES = 4;
    private static final int TARGETS = 8;
    private static final int SLOTS = 12;

    /** Work in flight beyond which a target of the weaker half slows down. */
    private static final int KNEE = 8;

    private static final double UNIT_MS = 50;
    private static final double OBJECTIVE_MS = 250;
    private static final double DEADLINE_MS = 2_000;
    private static final double RUN_MS = 40_000;
    private static final double SLOW_FROM_MS = 15_000;
    private static final double SLOW_TO_MS = 25_000;
    private static final double SLOW_FACTOR = 4;
    private static final double NOISE = 0.5;
    private static final double MS_PER_S = 1_000;

    private final EventLoop mLoop = new EventLoop();
    private final SplittableRandom mRandom;
    private final List<Sender> mProcesses = new ArrayList<>();
    private final int[] mTotal = new int[TARGETS];
    private final Samples mTimes = new Samples();
    private int mOffered;
    private int mInTime;

    private CapacityExperiment(Supplier<ConcurrencyLimit> limits, long seed) {
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < PROCESSES; i++) {
            mProcesses.add(new Sender(limits));
        }
    }

    static void run(PrintStream out) {
        out.println(
                "capacity: 8 targets of 12 slots, 4 slow down beyond 8 in flight, 2 are 4 times as"
                        + " slow from 15 to 25 s; 4 processes");
        out.printf(
                "%-9s %6s %12s %16s %12s %12s%n",
                "limit", "seed", "offered/s", "within 250 ms", "p50 (ms)", "p95 (ms)");
        for (double perS : new double[] {300, 600, 900, 1_200, 1_800}) {
            for (long seed = 1; seed <= 3; seed++) {
                new CapacityExperiment(FixedLimit::new, seed).report(out, "fixed", seed, perS);
                new CapacityExperiment(AimdLimit::new, seed).report(out, "aimd", seed, perS);
                new CapacityExperiment(GradientLimit::new, seed)
                        .report(out, "gradient", seed, perS);
            }
        }
    }

    private void report(PrintStream out, String name, long seed, double perS) {
        mProcesses.forEach(p -> p.arrive(perS / PROCESSES));
        mLoop.runUntil(RUN_MS);
        out.printf(
                "%-9s %6d %12.0f %16.3f %12.0f %12.0f%n",
                name,
                seed,
                perS,
                (double) mInTime / mOffered,
                mTimes.percentile(50),
                mTimes.percentile(95));
    }

    /** Returns how long work takes at a target that has just started it. */
    private double durationMs(int target) {
        double nowMs = mLoop.nowMs();
        double unitMs = UNIT_MS * Math.exp(NOISE * mRandom.nextGaussian());
        boolean isSlow = target < 2 && nowMs >= SLOW_FROM_MS && nowMs < SLOW_TO_MS;
        boolean isWeak = target % 2 == 0;
        double load = isWeak ? Math.pow(Math.max(1, mTotal[target] / (double) KNEE), 2) : 1;
        double queued = Math.max(1, mTotal[target] / (double) SLOTS);
        return unitMs * load * queued * (isSlow ? SLOW_FACTOR : 1);
    }

    /** A process that queues work until a target has a place for it. */
    private final class Sender {
        private final Deque<Double> mQueue = new ArrayDeque<>();
        private final int[] mInFlight = new int[TARGETS];
        private final ConcurrencyLimit[] mLimits = new ConcurrencyLimit[TARGETS];

        Sender(Supplier<ConcurrencyLimit> limits) {
            for (int i = 0; i < TARGETS; i++) {
                mLimits[i] = limits.get();
            }
        }

        void arrive(double perS) {
            mLoop.schedule(
                    Samples.exponential(mRandom, MS_PER_S / perS),
                    () -> {
                        mOffered++;
                        mQueue.add(mLoop.nowMs());
                        serve();
                        arrive(perS);
                    });
        }

        private void serve() {
            while (!mQueue.isEmpty()) {
                int target = choose();
                if (target < 0) {
                    return;
                }
                double arrivedMs = mQueue.poll();
                if (mLoop.nowMs() - arrivedMs < DEADLINE_MS) {
                    start(target, arrivedMs);
                }
            }
        }

        private int choose() {
            int best = -1;
            double bestLoad = Double.POSITIVE_INFINITY;
            for (int i = 0; i < TARGETS; i++) {
                int places = mLimits[i].places(SLOTS);
                double load = (mInFlight[i] + 1.0 + 0.1 * mRandom.nextDouble()) / places;
                if (mInFlight[i] < places && load < bestLoad) {
                    best = i;
                    bestLoad = load;
                }
            }
            return best;
        }

        private void start(int target, double arrivedMs) {
            mInFlight[target]++;
            mTotal[target]++;
            double startedMs = mLoop.nowMs();
            mLoop.schedule(durationMs(target), () -> end(target, arrivedMs, startedMs));
        }

        private void end(int target, double arrivedMs, double startedMs) {
            double nowMs = mLoop.nowMs();
            mLimits[target].record("work", nowMs - startedMs, mInFlight[target], (long) nowMs);
            mInFlight[target]--;
            mTotal[target]--;
            mTimes.add(nowMs - arrivedMs);
            mInTime += nowMs - arrivedMs <= OBJECTIVE_MS ? 1 : 0;
            serve();
        }
    }
}
