package dev.cactusspan.scaling;

/** Always requests the maximum; the baseline that {@link HysteresisPolicy} is compared with. */
public final class FixedPolicy implements ScalingPolicy {
    @Override
    public int desiredTargets(TargetDemand demand, ScalingBounds bounds, long nowMs) {
        return bounds.maxTargets();
    }
}
