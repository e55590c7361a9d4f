package dev.cactusspan.scaling;

/** Keeps the highest allowed number: the baseline that {@link HysteresisPolicy} is measured by. */
public final class FixedPolicy implements ScalingPolicy {
    @Override
    public int desiredTargets(TargetDemand demand, ScalingBounds bounds, long nowMs) {
        return bounds.maxTargets();
    }
}
