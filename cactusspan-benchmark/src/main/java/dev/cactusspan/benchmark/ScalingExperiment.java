package dev.cactusspan.benchmark;

import dev.cactusspan.scaling.FixedPolicy;
import dev.cactusspan.scaling.HysteresisPolicy;
import dev.cactusspan.scaling.ScalingBounds;
import dev.cactusspan.scaling.ScalingPolicy;
import dev.cactusspan.scaling.TargetDemand;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

/**
 * Compares scaling policies with a fixed number of targets, under a day's load compressed into an
 * hour, with bursts.
 */
final class ScalingExperiment {
    private static final int SLOTS = 16;
    private static final double MEAN_S = 2;
    private static final int START_DELAY_S = 30;
    private static final int RUN_S = 3_600;
    private static final double BASE_PER_S = 10;
    private static final double WAVE_PER_S = 40;
    private static final double BURST_PER_S = 40;
    private static final double BURST_CHANCE = 1.0 / 300;
    private static final int BURST_S = 20;
    private static final ScalingBounds BOUNDS = new ScalingBounds(1, 16);

    private final ScalingPolicy mPolicy;
    private final SplittableRandom mRandom = new SplittableRandom(1);
    private final Deque<Integer> mReadyAtS = new ArrayDeque<>();
    private int mTargets = 4;
    private double mBacklog;
    private int mBurstUntilS;

    private ScalingExperiment(ScalingPolicy policy) {
        mPolicy = policy;
    }

    static void run(PrintStream out) {
        out.println("scaling: one zone, 16 slots a target, 30 s to start, 1 to 16 targets");
        out.printf("%-34s %14s %16s %16s%n", "policy", "target hours", "mean wait (s)", "orders");
        new ScalingExperiment(new FixedPolicy()).report(out, "fixed at 16");
        for (double high : new double[] {0.7, 0.85}) {
            for (long downMs : new long[] {20_000, 60_000, 180_000}) {
                HysteresisPolicy.Thresholds thresholds =
                        new HysteresisPolicy.Thresholds(high, 0.6, 0.35, 2_000, downMs);
                String name = "high " + high + ", down after " + downMs / 1_000 + " s";
                new ScalingExperiment(new HysteresisPolicy(thresholds)).report(out, name);
            }
        }
    }

    /** Simulates in steps of one second; requests in the backlog beyond the slots are waiting. */
    private void report(PrintStream out, String name) {
        double targetSeconds = 0;
        double waited = 0;
        double arrived = 0;
        int orders = 0;
        for (int second = 0; second < RUN_S; second++) {
            while (!mReadyAtS.isEmpty() && mReadyAtS.peek() <= second) {
                mReadyAtS.poll();
                mTargets++;
            }
            double offered = offered(second);
            arrived += offered;
            mBacklog += offered;
            double served = Math.min(mBacklog, mTargets * SLOTS) / MEAN_S;
            mBacklog -= served;
            waited += Math.max(0, mBacklog - mTargets * SLOTS);
            TargetDemand demand =
                    new TargetDemand(mTargets, mReadyAtS.size(), (int) mBacklog, SLOTS);
            int desired = mPolicy.desiredTargets(demand, BOUNDS, second * 1_000L);
            orders += applyOrder(desired, second);
            targetSeconds += mTargets + mReadyAtS.size();
        }
        out.printf(
                "%-34s %14.1f %16.2f %16d%n",
                name, targetSeconds / 3_600, waited / arrived, orders);
    }

    private double offered(int second) {
        if (mRandom.nextDouble() < BURST_CHANCE) {
            mBurstUntilS = second + BURST_S;
        }
        double wave = WAVE_PER_S * Math.max(0, Math.sin(2 * Math.PI * second / RUN_S));
        return BASE_PER_S + wave + (second < mBurstUntilS ? BURST_PER_S : 0);
    }

    private int applyOrder(int desired, int second) {
        int current = mTargets + mReadyAtS.size();
        for (int i = current; i < desired; i++) {
            mReadyAtS.add(second + START_DELAY_S);
        }
        if (desired < current && mTargets > 1) {
            mTargets--;
        }
        return Math.abs(desired - current);
    }
}
