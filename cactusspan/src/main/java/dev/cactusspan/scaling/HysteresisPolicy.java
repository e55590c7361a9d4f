package dev.cactusspan.scaling;

/**
 * Adds targets after a short period of high load and removes them after a long period of low load.
 * Starting targets count as present, so that a slow start does not cause more targets to be
 * ordered.
 */
public final class HysteresisPolicy implements ScalingPolicy {
    private final Thresholds mThresholds;
    private long mHighSinceMs = Long.MAX_VALUE;
    private long mLowSinceMs = Long.MAX_VALUE;

    /**
     * Creates a policy.
     *
     * @param thresholds load thresholds and delays
     */
    public HysteresisPolicy(Thresholds thresholds) {
        mThresholds = thresholds;
    }

    @Override
    public int desiredTargets(TargetDemand demand, ScalingBounds bounds, long nowMs) {
        int present = demand.targets() + demand.starting();
        double load = load(demand, present);
        mHighSinceMs =
                load > mThresholds.highLoad() ? Math.min(mHighSinceMs, nowMs) : Long.MAX_VALUE;
        mLowSinceMs = load < mThresholds.lowLoad() ? Math.min(mLowSinceMs, nowMs) : Long.MAX_VALUE;
        if (isDue(mHighSinceMs, mThresholds.upDelayMs(), nowMs)) {
            return clamp(Math.max(present, needed(demand)), bounds);
        }
        if (isDue(mLowSinceMs, mThresholds.downDelayMs(), nowMs)) {
            mLowSinceMs = nowMs;
            return clamp(Math.max(needed(demand), present - 1), bounds);
        }
        return clamp(present, bounds);
    }

    private static double load(TargetDemand demand, int present) {
        return (double) demand.requests() / Math.max(1, present * demand.slotsPerTarget());
    }

    private static boolean isDue(long sinceMs, long delayMs, long nowMs) {
        return sinceMs != Long.MAX_VALUE && nowMs - sinceMs >= delayMs;
    }

    private int needed(TargetDemand demand) {
        double slots = demand.slotsPerTarget() * mThresholds.aimLoad();
        return (int) Math.ceil(demand.requests() / Math.max(1, slots));
    }

    private static int clamp(int targets, ScalingBounds bounds) {
        return Math.max(bounds.minTargets(), Math.min(bounds.maxTargets(), targets));
    }

    /**
     * Load thresholds and delays of a policy; a load of 1.0 fills all slots.
     *
     * @param highLoad load above which targets are added
     * @param aimLoad load to reach by adding targets
     * @param lowLoad load below which a target is removed
     * @param upDelayMs time that the load must be high before targets are added
     * @param downDelayMs time that the load must be low before each removal of a target
     */
    public record Thresholds(
            double highLoad, double aimLoad, double lowLoad, long upDelayMs, long downDelayMs) {
        /** Thresholds for targets that take about half a minute to start. */
        public static final Thresholds STANDARD = new Thresholds(0.7, 0.6, 0.35, 2_000, 60_000);
    }
}
