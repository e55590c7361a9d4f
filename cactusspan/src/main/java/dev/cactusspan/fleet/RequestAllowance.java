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
 * processes together, or be cold; while it does or is, each request takes a permit that this
 * process was granted. Load pattern: each process alone sends less than the limit, and all of them
 * together several times as much.
 */
final class RequestAllowance {
    /**
     * Time after which an unused permit lapses, in milliseconds, so that permits that one process
     * does not need cannot add up to a burst.
     */
    static final long PERMIT_TTL_MS = 1_000;

    /**
     * Time after which an unused permit for a cold target lapses, in milliseconds. It counts from
     * the earliest moment at which the permit may have been issued, so that no delay on the way
     * adds to the requests of a second. It is several round trips between regions.
     */
    static final long COLD_PERMIT_TTL_MS = 300;

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
    private OptionalDouble mColdLimitPerS = OptionalDouble.empty();
    private long mRequestedMs;
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
        dropIfUnlimited();
    }

    /**
     * Sets the rate at which all processes together may send because the target is cold.
     *
     * @param limitPerS requests per second, empty if the target is not cold
     * @param nowMs monotonic clock in milliseconds
     */
    void setColdLimit(OptionalDouble limitPerS, long nowMs) {
        if (limitPerS.isPresent() == mColdLimitPerS.isPresent()) {
            mColdLimitPerS = limitPerS;
            return;
        }
        discardOld(nowMs);
        Decision.of(limitPerS.isPresent() ? "target_cold" : "target_warm")
                .with("target", mTarget.value())
                .with("permits_per_s", limitPerS.orElse(0))
                .with("sent_in_4_s", mSentMs.size())
                .info();
        mColdLimitPerS = limitPerS;
        if (limitPerS.isPresent()) {
            // Permits of the target's own limit live longer than a cold target bears.
            mPermitExpiriesMs.clear();
        }
        dropIfUnlimited();
    }

    private void dropIfUnlimited() {
        if (limitPerS().isEmpty()) {
            mPermitExpiriesMs.clear();
            mWanted = 0;
        }
    }

    /** Returns the lower one of the limits that hold, empty if none does. */
    private OptionalDouble limitPerS() {
        if (mLimitPerS.isEmpty() || mColdLimitPerS.isEmpty()) {
            return mLimitPerS.isPresent() ? mLimitPerS : mColdLimitPerS;
        }
        return OptionalDouble.of(Math.min(mLimitPerS.getAsDouble(), mColdLimitPerS.getAsDouble()));
    }

    /** Discards permits that have lapsed. */
    void tick(long nowMs) {
        while (!mPermitExpiriesMs.isEmpty() && mPermitExpiriesMs.peek() <= nowMs) {
            mPermitExpiriesMs.poll();
        }
    }

    /** Returns the request for permits that is due now, if there is one. */
    Optional<PermitRequest> nextRequest(long nowMs) {
        OptionalDouble limitPerS = limitPerS();
        if (limitPerS.isEmpty() || mWanted == 0 || mIsRequesting || nowMs < mNextRequestMs) {
            return Optional.empty();
        }
        mIsRequesting = true;
        mRequestedMs = nowMs;
        int wanted = mWanted;
        mWanted = 0;
        return Optional.of(
                new PermitRequest(
                        mTarget, limitPerS.getAsDouble(), wanted, mColdLimitPerS.isPresent()));
    }

    /** Handles the response to a request for permits. */
    void onPermits(PermitGrant grant, long nowMs) {
        mIsRequesting = false;
        mNextPermitMs = nowMs + grant.nextPermitMs();
        if (grant.permits() == 0) {
            mNextRequestMs = nowMs + RETRY_MS;
        }
        if (limitPerS().isEmpty()) {
            return;
        }
        long expiryMs =
                mColdLimitPerS.isPresent()
                        ? mRequestedMs + grant.waitedMs() + COLD_PERMIT_TTL_MS
                        : nowMs + PERMIT_TTL_MS;
        for (int i = 0; i < grant.permits() && expiryMs > nowMs; i++) {
            mPermitExpiriesMs.add(expiryMs);
        }
    }

    private void discardOld(long nowMs) {
        while (!mSentMs.isEmpty() && mSentMs.peek() < nowMs - COUNTED_MS) {
            mSentMs.poll();
        }
    }

    // Accessors

    /** Returns whether a request may be sent now. */
    boolean admits(long nowMs) {
        tick(nowMs);
        return limitPerS().isEmpty() || !mPermitExpiriesMs.isEmpty();
    }

    /** Returns the expected time until the next permit, empty if the target has no limit. */
    OptionalLong permitWaitMs(long nowMs) {
        return limitPerS().isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, mNextPermitMs - nowMs));
    }
}
