package dev.cactusspan.benchmark;

import dev.cactusspan.id.AvailabilityZoneId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.routing.Candidate;
import dev.cactusspan.routing.CostRouter;
import dev.cactusspan.routing.RoundRobinRouter;
import dev.cactusspan.routing.Router;
import dev.cactusspan.routing.RoutingCosts;
import dev.cactusspan.routing.ZoneDistance;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntFunction;

/**
 * Compares routers of entries whose targets report their load with a delay and have small prompt
 * caches.
 */
final class RoutingExperiment {
    private static final int ENTRIES = 9;
    private static final int TARGETS = 30;
    private static final int REGIONS = 3;
    private static final int SLOTS = 8;
    private static final int PREFIXES = 300;
    private static final int CACHED_PREFIXES = 20;
    private static final double MEAN_MS = 200;
    private static final double CACHED_FACTOR = 0.5;
    private static final double REGION_MS = 40;
    private static final double REPORT_MS = 500;
    private static final double SLOW_REPORT_MS = 1_000;
    private static final double RUN_MS = 60_000;

    private final EventLoop mLoop = new EventLoop();
    private final SplittableRandom mRandom;
    private final double mReportMs;
    private final List<Target> mTargets = new ArrayList<>();
    private final int[][] mOwnRequests = new int[ENTRIES][TARGETS];
    private final int[][] mOtherRequests = new int[ENTRIES][TARGETS];
    private final List<Router> mRouters = new ArrayList<>();
    private final Samples mTimes = new Samples();
    private int mHits;
    private int mRemote;

    private RoutingExperiment(IntFunction<Router> routers, long seed, double reportMs) {
        mReportMs = reportMs;
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < TARGETS; i++) {
            mTargets.add(new Target(i % REGIONS));
        }
        for (int i = 0; i < ENTRIES; i++) {
            mRouters.add(routers.apply(i));
        }
    }

    static void run(PrintStream out) {
        out.println("routing: 9 entries, 30 targets in 3 regions, reports 500 ms apart");
        out.printf(
                "%-34s %6s %8s %8s %8s %8s%n",
                "router", "load", "p50 ms", "p99 ms", "cached", "remote");
        for (double load : new double[] {0.6, 0.85}) {
            row(out, "round robin", load, REPORT_MS, entry -> new RoundRobinRouter());
            for (double regionCost : new double[] {0.3, 1.0}) {
                for (double gain : new double[] {0.0, 0.5}) {
                    RoutingCosts costs = new RoutingCosts(0.25, regionCost, gain, 0.8);
                    String name = "cost, region " + regionCost + ", prefix gain " + gain;
                    row(out, name, load, REPORT_MS, entry -> router(costs, entry));
                }
            }
            row(
                    out,
                    "as built, reports 1 s apart",
                    load,
                    SLOW_REPORT_MS,
                    entry -> router(RoutingCosts.STANDARD, entry));
        }
    }

    private static Router router(RoutingCosts costs, int entry) {
        String ownZone = "z" + entry % REGIONS;
        ZoneDistance.Map distances =
                zone ->
                        zone.value().equals(ownZone)
                                ? ZoneDistance.SAME_ZONE
                                : ZoneDistance.OTHER_REGION;
        return new CostRouter(costs, distances, new SplittableRandom(entry));
    }

    private static void row(
            PrintStream out,
            String name,
            double load,
            double reportMs,
            IntFunction<Router> routers) {
        RoutingExperiment experiment = new RoutingExperiment(routers, 1, reportMs);
        experiment.simulate(load);
        int size = experiment.mTimes.size();
        out.printf(
                "%-34s %6.2f %8.0f %8.0f %8.3f %8.3f%n",
                name,
                load,
                experiment.mTimes.percentile(50),
                experiment.mTimes.percentile(99),
                (double) experiment.mHits / size,
                (double) experiment.mRemote / size);
    }

    /**
     * Simulates a load, given as the share of all slots that requests would occupy without cached
     * prefixes.
     */
    private void simulate(double load) {
        double perMs = load * TARGETS * SLOTS / MEAN_MS;
        arrive(1 / perMs);
        report();
        mLoop.runUntil(RUN_MS);
    }

    private void arrive(double meanMs) {
        mLoop.schedule(
                Samples.exponential(mRandom, meanMs),
                () -> {
                    request();
                    arrive(meanMs);
                });
    }

    private void report() {
        for (int i = 0; i < TARGETS; i++) {
            int requests = mTargets.get(i).mBusy + mTargets.get(i).mQueue.size();
            for (int entry = 0; entry < ENTRIES; entry++) {
                mOtherRequests[entry][i] = Math.max(0, requests - mOwnRequests[entry][i]);
            }
        }
        mLoop.schedule(mReportMs, this::report);
    }

    private void request() {
        int entry = mRandom.nextInt(ENTRIES);
        double skew = mRandom.nextDouble();
        long prefix = 1 + (long) (PREFIXES * skew * skew);
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            Target target = mTargets.get(i);
            candidates.add(
                    new Candidate(
                            TargetId.of(Integer.toString(i)),
                            AvailabilityZoneId.of("z" + target.mRegion),
                            mOwnRequests[entry][i],
                            mOtherRequests[entry][i],
                            SLOTS,
                            WeightVersion.NONE));
        }
        Candidate chosen = mRouters.get(entry).choose(candidates, prefix).orElseThrow();
        int index = Integer.parseInt(chosen.target().value());
        mOwnRequests[entry][index]++;
        Target target = mTargets.get(index);
        boolean isRemote = target.mRegion != entry % REGIONS;
        mRemote += isRemote ? 1 : 0;
        target.mQueue.add(new Request(mLoop.nowMs(), entry, index, prefix, isRemote));
        serve(target);
    }

    private void serve(Target target) {
        while (target.mBusy < SLOTS && !target.mQueue.isEmpty()) {
            Request request = target.mQueue.poll();
            target.mBusy++;
            boolean isHit = target.cache(request.prefix());
            mHits += isHit ? 1 : 0;
            double mean = isHit ? MEAN_MS * CACHED_FACTOR : MEAN_MS;
            mLoop.schedule(Samples.exponential(mRandom, mean), () -> end(target, request));
        }
    }

    private void end(Target target, Request request) {
        target.mBusy--;
        mOwnRequests[request.entry()][request.target()]--;
        double networkMs = request.isRemote() ? REGION_MS : 0;
        mTimes.add(mLoop.nowMs() - request.startMs() + networkMs);
        serve(target);
    }

    private record Request(double startMs, int entry, int target, long prefix, boolean isRemote) {}

    private static final class Target {
        private final int mRegion;
        private final Deque<Request> mQueue = new ArrayDeque<>();
        private final Map<Long, Boolean> mCache =
                new LinkedHashMap<>(CACHED_PREFIXES, 0.75f, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                        return size() > CACHED_PREFIXES;
                    }
                };
        private int mBusy;

        Target(int region) {
            mRegion = region;
        }

        boolean cache(long prefix) {
            return mCache.put(prefix, Boolean.TRUE) != null;
        }
    }
}
