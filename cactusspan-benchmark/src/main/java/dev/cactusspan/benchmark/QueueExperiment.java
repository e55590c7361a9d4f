package dev.cactusspan.benchmark;

import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.limit.FairQueue;
import dev.cactusspan.limit.FifoQueue;
import dev.cactusspan.limit.QueuedItem;
import dev.cactusspan.limit.RequestQueue;
import java.io.PrintStream;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Compares a FIFO queue with a fair queue when two accounts overload a target that six small
 * accounts also use.
 */
final class QueueExperiment {
    private static final int SLOTS = 16;
    private static final double SERVICE_MS = 50;
    private static final double RUN_MS = 60_000;
    private static final double DEADLINE_MS = 3_000;
    private static final int CAPACITY = 1_024;
    private static final double FLOOD_REQUESTS_PER_S = 400;
    private static final double SMALL_REQUESTS_PER_S = 5;

    private final EventLoop mLoop = new EventLoop();
    private final RequestQueue<Double> mQueue;
    private final SplittableRandom mRandom;
    private final Map<String, Samples> mWaits = new TreeMap<>();
    private final Map<String, int[]> mOffered = new TreeMap<>();
    private int mBusy;

    private QueueExperiment(RequestQueue<Double> queue, long seed) {
        mQueue = queue;
        mRandom = new SplittableRandom(seed);
    }

    static void run(PrintStream out) {
        out.println("fair queueing: 2 accounts offer 400/s each, 6 offer 5/s, capacity 320/s");
        out.printf(
                "%-6s %6s %24s %22s %22s%n",
                "queue", "seed", "worst account answered", "small p99 wait (ms)", "all answered/s");
        for (long seed = 1; seed <= 3; seed++) {
            new QueueExperiment(new FifoQueue<>(CAPACITY), seed).report(out, "fifo", seed);
            new QueueExperiment(new FairQueue<>(CAPACITY), seed).report(out, "fair", seed);
        }
    }

    private void report(PrintStream out, String name, long seed) {
        for (int i = 0; i < 8; i++) {
            boolean isFlood = i < 2;
            String account = (isFlood ? "flood-" : "small-") + i;
            mWaits.put(account, new Samples());
            mOffered.put(account, new int[1]);
            arrive(account, isFlood ? FLOOD_REQUESTS_PER_S : SMALL_REQUESTS_PER_S);
        }
        mLoop.runUntil(RUN_MS);
        double worst = 1;
        double smallP99 = 0;
        int completed = 0;
        for (Map.Entry<String, Samples> waits : mWaits.entrySet()) {
            int offered = mOffered.get(waits.getKey())[0];
            completed += waits.getValue().size();
            if (waits.getKey().startsWith("small")) {
                worst = Math.min(worst, (double) waits.getValue().size() / offered);
                smallP99 = Math.max(smallP99, waits.getValue().percentile(99));
            }
        }
        out.printf(
                "%-6s %6d %24.3f %22.0f %22.0f%n",
                name, seed, worst, smallP99, completed / (RUN_MS / 1_000));
    }

    private void arrive(String account, double perS) {
        mLoop.schedule(
                Samples.exponential(mRandom, 1_000 / perS),
                () -> {
                    mOffered.get(account)[0]++;
                    mQueue.add(
                            new QueuedItem<>(
                                    AccountId.of(account),
                                    RequestClass.INTERACTIVE,
                                    1,
                                    (long) (mLoop.nowMs() + DEADLINE_MS),
                                    mLoop.nowMs()));
                    serve();
                    arrive(account, perS);
                });
    }

    private void serve() {
        while (mBusy < SLOTS) {
            Optional<QueuedItem<Double>> next = mQueue.poll(item -> true);
            if (next.isEmpty()) {
                return;
            }
            if (next.get().deadlineMs() < mLoop.nowMs()) {
                continue;
            }
            mBusy++;
            double waitMs = mLoop.nowMs() - next.get().item();
            mWaits.get(next.get().account().value()).add(waitMs);
            mLoop.schedule(
                    Samples.exponential(mRandom, SERVICE_MS),
                    () -> {
                        mBusy--;
                        serve();
                    });
        }
    }
}
