package dev.cactusspan.fleet;

import dev.cactusspan.id.TargetId;
import dev.cactusspan.observe.Decision;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/** The request limit that a target names in its responses, and what this process sends to it. */
final class RequestAllowance {
    /** Time over which own requests are counted for the log, in milliseconds. */
    private static final long COUNTED_MS = 4_000;

    private final TargetId mTarget;
    private final Deque<Long> mSentMs = new ArrayDeque<>();
    private OptionalDouble mLimitPerS = OptionalDouble.empty();
    private long mNamedMs;

    RequestAllowance(TargetId target) {
        mTarget = target;
    }

    // Operations

    /** Records that a request was sent. */
    void recordSent(long nowMs) {
        discardOld(nowMs);
        mSentMs.add(nowMs);
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
    }

    private void discardOld(long nowMs) {
        while (!mSentMs.isEmpty() && mSentMs.peek() < nowMs - COUNTED_MS) {
            mSentMs.poll();
        }
    }
}
