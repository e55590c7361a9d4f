package dev.cactusspan.scaling;

/** Decides how many targets a service should have in an availability zone. */
public interface ScalingPolicy {

    /**
     * Decides the number of targets.
     *
     * @param demand present load
     * @param bounds bounds on the number
     * @param nowMs monotonic time
     * @return the wanted number
     */
    int desiredTargets(TargetDemand demand, ScalingBounds bounds, long nowMs);
}
