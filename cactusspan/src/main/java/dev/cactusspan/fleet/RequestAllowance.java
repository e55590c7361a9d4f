package dev.cactusspan.fleet;

import dev.cactusspan.id.TargetId;
import dev.cactusspan.observe.Decision;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What this process may send to one target. A target may name a request limit that holds for all
 * processes together; while it does, each request takes a permit that this process was granted.
 * Load pattern: each process alone sends less than the limit, and all of them together several
 * times as much.
 */
final class RequestAllowance {
    /**
     * Time after which an unused permit lapses, in milliseconds, so that permits that one process
     * does not need cannot add up to a burst.
     */
    static final long PERMIT_TTL_MS = 1_000;

    /** Maximum number of permits to request at once. */
    static final int MAX_WANTED = 8;

    /** Delay before permits are requested again after a request that yielded none. */
    private static final long RETRY_MS = 100;

    /** Time over which own requests are counted for the log, in milliseconds. */
    private static final long COUNTED_MS = 4_000;

    private final TargetId mTarget;
    private final Deque<Long> mSentMs = new ArrayDeque<>();
    private final Deque<Long> mPermitExpiriesMs = new ArrayDeque<>();
    private OptionalDouble mLimitPerS = OptionalDouble.empty();
    private long mNamedMs;
    private int mWanted;
    private boolean mIsRequesting;
    private long mNextRequestMs;
    private long mNextPermitMs;

    RequestAllowance(TargetId target) {
        mTarget = target;
    }

    // Operations

    /** Adds a permit to those that the next request asks for. */
    void wantPermit() {
        mWanted = Math.min(MAX_WANTED, mWanted + 1);
    }

    /** Records that a request was sent, which takes a permit if the target limits requests. */
    void recordSent(long nowMs) {
        discardOld(nowMs);
        mSentMs.add(nowMs);
        mPermitExpiriesMs.poll();
    }

    /**
     * Records the limit that a response names. A response without a limit ends an earlier one,
     * unless its request was sent before that limit was known.
     *
     * @param limitPerS requests per second over all processes, empty if the response names none
     * @param status HTTP status of the response
     * @param sentMs when its request was sent, in milliseconds of the monotonic clock
     * @param nowMs monotonic clock in milliseconds
     */
    void recordResponse(OptionalDouble limitPerS, int status, long sentMs, long nowMs) {
        if (limitPerS.isEmpty() && sentMs <= mNamedMs) {
            return;
        }
        if (limitPerS.isPresent()) {
            mNamedMs = nowMs;
        }
        if (limitPerS.equals(mLimitPerS)) {
            return;
        }
        discardOld(nowMs);
        Decision.of(limitPerS.isPresent() ? "target_limit_named" : "target_limit_ended")
                .with("target", mTarget.value())
                .with("limit_per_s", limitPerS.orElse(0))
                .with("previous_per_s", mLimitPerS.orElse(0))
                .with("status", status)
                .with("sent_in_4_s", mSentMs.size())
                .info();
        mLimitPerS = limitPerS;
        if (limitPerS.isEmpty()) {
            mPermitExpiriesMs.clear();
            mWanted = 0;
        }
    }

    /** Discards permits that have lapsed. */
    void tick(long nowMs) {
        while (!mPermitExpiriesMs.isEmpty() && mPermitExpiriesMs.peek() <= nowMs) {
            mPermitExpiriesMs.poll();
        }
    }

    /** Returns the request for permits that is due now, if there is one. */
    Optional<PermitRequest> nextRequest(long nowMs) {
        if (mLimitPerS.isEmpty() || mWanted == 0 || mIsRequesting || nowMs < mNextRequestMs) {
            return Optional.empty();
        }
        mIsRequesting = true;
        int wanted = mWanted;
        mWanted = 0;
        return Optional.of(new PermitRequest(mTarget, mLimitPerS.getAsDouble(), wanted));
    }

    /** Handles the response to a request for permits. */
    void onPermits(PermitGrant grant, long nowMs) {
        mIsRequesting = false;
        mNextPermitMs = nowMs + grant.nextPermitMs();
        if (grant.permits() == 0) {
            mNextRequestMs = nowMs + RETRY_MS;
        }
        for (int i = 0; i < grant.permits() && mLimitPerS.isPresent(); i++) {
            mPermitExpiriesMs.add(nowMs + PERMIT_TTL_MS);
        }
    }

    private void discardOld(long nowMs) {
        while (!mSentMs.isEmpty() && mSentMs.peek() < nowMs - COUNTED_MS) {
            mSentMs.poll();
        }
    }

    // Accessors

    /** Returns whether a request may be sent now. */
    boolean admits() {
        return mLimitPerS.isEmpty() || !mPermitExpiriesMs.isEmpty();
    }

    /** Returns the expected time until the next permit, empty if the target has no limit. */
    OptionalLong permitWaitMs(long nowMs) {
        return mLimitPerS.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, mNextPermitMs - nowMs));
    }
}
