package dev.cactusspan.scaling;

/** Decides how many targets a service should have in an availability zone. */
public interface ScalingPolicy {

    /**
     * Returns the desired number of targets.
     *
     * @param demand current load
     * @param bounds limits on the number
     * @param nowMs monotonic time in milliseconds
     * @return the desired number
     */
    int desiredTargets(TargetDemand demand, ScalingBounds bounds, long nowMs);
}
