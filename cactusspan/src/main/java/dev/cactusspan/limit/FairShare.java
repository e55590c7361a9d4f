package dev.cactusspan.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Start-time fair queueing among flows: the flow with the earliest start is served next, and each
 * service moves its start on by the cost over the flow's weight. A flow that was idle starts at the
 * current virtual time, so that it accumulates no credit while idle.
 *
 * @param <K> identifies a flow
 */
public final class FairShare<K> {
    private final Map<K, Double> mStarts = new HashMap<>();
    private double mVirtualTime;

    // Operations

    /**
     * Notes that a flow that was idle has work.
     *
     * @param flow the flow
     */
    public void enter(K flow) {
        mStarts.merge(flow, mVirtualTime, Math::max);
    }

    /**
     * Notes that a flow was served.
     *
     * @param flow the flow
     * @param cost cost of the service
     * @param weight weight of the flow
     */
    public void serve(K flow, double cost, double weight) {
        double start = start(flow);
        mVirtualTime = Math.max(mVirtualTime, start);
        mStarts.put(flow, start + cost / weight);
    }

    /**
     * Forgets idle flows whose start is not in the future, to limit memory use.
     *
     * @param isIdle tells whether a flow has no work
     */
    public void forget(Predicate<K> isIdle) {
        mStarts.entrySet().removeIf(e -> e.getValue() <= mVirtualTime && isIdle.test(e.getKey()));
    }

    // Accessors

    /**
     * Returns when a flow is served, relative to the others.
     *
     * @param flow the flow
     * @return its start in virtual time
     */
    public double start(K flow) {
        return mStarts.getOrDefault(flow, mVirtualTime);
    }
}
