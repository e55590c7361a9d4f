package dev.cactusspan.limit;

import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import java.util.EnumMap;
import java.util.Map;

/**
 * Estimates whether a request can still be answered in time, from how long requests of its class
 * took of late. Work that would end too late only takes slots from work that would not.
 */
public final class WaitEstimate {
    private static final double WEIGHT = 0.05;
    private static final int MIN_FINISHED = 20;

    private final Map<RequestClass, Mean> mMeans = new EnumMap<>(RequestClass.class);

    /**
     * Notes how long a request was at the target.
     *
     * @param requestClass its class
     * @param tookMs its time
     */
    public void recordDuration(RequestClass requestClass, long tookMs) {
        mMeans.computeIfAbsent(requestClass, c -> new Mean()).add(tookMs);
    }

    /**
     * Tells whether a request would end after its deadline.
     *
     * @param requestClass its class
     * @param ahead requests that are served before it
     * @param slots requests that the target takes at a time
     * @param leftMs time left to its deadline
     * @return true if it would be late; false while too little is known
     */
    public boolean isLate(RequestClass requestClass, int ahead, int slots, long leftMs) {
        Mean mean = mMeans.get(requestClass);
        if (mean == null || mean.mCount < MIN_FINISHED) {
            return false;
        }
        double waitMs = mean.mMs * ahead / Math.max(1, slots);
        return waitMs + mean.mMs > leftMs;
    }

    private static final class Mean {
        private double mMs;
        private int mCount;

        void add(long tookMs) {
            mCount++;
            double weight = Math.max(WEIGHT, 1.0 / mCount);
            mMs += weight * (tookMs - mMs);
        }
    }
}
