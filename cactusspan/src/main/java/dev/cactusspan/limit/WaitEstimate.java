package dev.cactusspan.limit;

import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import java.util.EnumMap;
import java.util.Map;

/**
 * Estimates from the recent durations of a class whether a request can finish before its deadline.
 * A request that would miss its deadline only takes slots from requests that would not.
 */
public final class WaitEstimate {
    private static final double MIN_SAMPLE_WEIGHT = 0.05;
    private static final int MIN_SAMPLES = 20;

    private final Map<RequestClass, Mean> mMeans = new EnumMap<>(RequestClass.class);

    /**
     * Records how long a request was at the target.
     *
     * @param requestClass class of the request
     * @param durationMs duration in milliseconds
     */
    public void recordDuration(RequestClass requestClass, long durationMs) {
        mMeans.computeIfAbsent(requestClass, c -> new Mean()).add(durationMs);
    }

    /**
     * Returns whether a request is expected to miss its deadline.
     *
     * @param requestClass class of the request
     * @param ahead number of requests that are served before it
     * @param slots number of requests that the target runs concurrently
     * @param leftMs time left until the deadline, in milliseconds
     * @return true if it would be late; false while there are too few samples
     */
    public boolean isLate(RequestClass requestClass, int ahead, int slots, long leftMs) {
        Mean mean = mMeans.get(requestClass);
        if (mean == null || mean.mCount < MIN_SAMPLES) {
            return false;
        }
        double waitMs = mean.mMs * ahead / Math.max(1, slots);
        return waitMs + mean.mMs > leftMs;
    }

    private static final class Mean {
        private double mMs;
        private int mCount;

        void add(long durationMs) {
            mCount++;
            double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / mCount);
            mMs += weight * (durationMs - mMs);
        }
    }
}
