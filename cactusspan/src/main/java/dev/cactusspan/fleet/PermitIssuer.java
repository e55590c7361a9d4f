package dev.cactusspan.fleet;

import dev.cactusspan.id.TargetId;
import dev.cactusspan.observe.Decision;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Divides the request limits of targets, and the rates of cold ones, among the processes that have
 * work for them. One process issues the permits for a target; requests wait until there is a
 * permit, and those that wait longest come first.
 */
public final class PermitIssuer {
    /** Time that a request waits for a permit, in milliseconds. */
    public static final long MAX_WAIT_MS = 800;

    /** Time over which unused permits add up, in seconds. */
    private static final double BURST_S = 0.5;

    /**
     * Lowest rate, in permits per second. A target that accepts nothing must still get a request
     * now and then, as only its responses tell that the limit has ended.
     */
    private static final double MIN_LIMIT_PER_S = 0.2;

    /** Time after the last request for a target until its limit is forgotten, in milliseconds. */
    private static final long IDLE_MS = 10_000;

    private static final double MS_PER_S = 1_000.0;

    private final Map<TargetId, Bucket> mBuckets = new HashMap<>();

    /** Receives the response to a request, at once or later. */
    public interface Receiver {
        /**
         * Accepts the response.
         *
         * @param grant the permits
         */
        void accept(PermitGrant grant);
    }

    private record Waiting(int wanted, long sinceMs, Receiver receiver) {
        long deadlineMs() {
            return sinceMs + MAX_WAIT_MS;
        }
    }

    /** The permits of one target. It starts empty, as another process may just have issued some. */
    private static final class Bucket {
        private final Deque<Waiting> mQueue = new ArrayDeque<>();
        private double mPerS;
        private double mPermits;
        private boolean mIsCold;
        private long mAsOfMs;
        private long mRequestedMs;

        Bucket(long nowMs) {
            mAsOfMs = nowMs;
        }

        void refill(long nowMs) {
            double added = mPerS * (nowMs - mAsOfMs) / MS_PER_S;
            double most = mIsCold ? 1 : Math.max(1, mPerS * BURST_S);
            mPermits = Math.min(most, mPermits + added);
            mAsOfMs = nowMs;
        }

        /** Grants what there is to those that wait, in equal parts. */
        void grant(long nowMs) {
            refill(nowMs);
            while (!mQueue.isEmpty() && mPermits >= 1) {
                int share = Math.max(1, (int) mPermits / mQueue.size());
                Waiting first = mQueue.poll();
                int permits = Math.min(first.wanted(), share);
                mPermits -= permits;
                first.receiver().accept(grant(first, permits, nowMs));
            }
            while (!mQueue.isEmpty() && mQueue.peek().deadlineMs() <= nowMs) {
                Waiting first = mQueue.poll();
                first.receiver().accept(grant(first, 0, nowMs));
            }
        }

        private PermitGrant grant(Waiting waiting, int permits, long nowMs) {
            return new PermitGrant(permits, nextPermitMs(), nowMs - waiting.sinceMs());
        }

        private long nextPermitMs() {
            double missing = mQueue.size() + 1 - mPermits;
            return Math.max(0, (long) (missing / mPerS * MS_PER_S));
        }
    }

    // Operations

    /**
     * Handles a request for permits.
     *
     * @param request the request
     * @param nowMs monotonic clock in milliseconds
     * @param receiver receives the permits, within {@link #MAX_WAIT_MS}
     */
    public void request(PermitRequest request, long nowMs, Receiver receiver) {
        Bucket bucket =
                mBuckets.computeIfAbsent(
                        request.target(),
                        target -> {
                            logIssuing(target, request.limitPerS(), true);
                            return new Bucket(nowMs);
                        });
        bucket.refill(nowMs);
        bucket.mIsCold = request.isCold();
        bucket.mPerS = Math.max(MIN_LIMIT_PER_S, request.limitPerS());
        bucket.mRequestedMs = nowMs;
        bucket.mQueue.add(new Waiting(request.wanted(), nowMs, receiver));
        bucket.grant(nowMs);
    }

    /**
     * Grants permits to the requests that wait.
     *
     * @param nowMs monotonic clock in milliseconds
     */
    public void tick(long nowMs) {
        mBuckets.values().forEach(bucket -> bucket.grant(nowMs));
        mBuckets.entrySet()
                .removeIf(
                        e -> {
                            boolean isIdle = nowMs - e.getValue().mRequestedMs >= IDLE_MS;
                            if (isIdle) {
                                logIssuing(e.getKey(), e.getValue().mPerS, false);
                            }
                            return isIdle;
                        });
    }

    private static void logIssuing(TargetId target, double limitPerS, boolean isIssuing) {
        Decision.of(isIssuing ? "permits_issued_here" : "permits_no_longer_issued")
                .with("target", target.value())
                .with("limit_per_s", limitPerS)
                .info();
    }
}
