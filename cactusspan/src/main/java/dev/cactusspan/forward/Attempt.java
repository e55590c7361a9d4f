package dev.cactusspan.forward;

import dev.cactusspan.fleet.ResponseHead;
import dev.cactusspan.fleet.TargetState;
import java.io.ByteArrayOutputStream;
import java.util.Optional;

/** One send of a request to one target. */
final class Attempt {
    private final TargetState mTarget;
    private final long mStartedMs;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private Runnable mBreakOff = () -> {};
    private Optional<ResponseHead> mHead = Optional.empty();
    private boolean mIsOver;

    Attempt(TargetState target, long startedMs) {
        mTarget = target;
        mStartedMs = startedMs;
        target.recordSent();
    }

    void setCanceller(Runnable breakOff) {
        mBreakOff = breakOff;
    }

    void head(ResponseHead head) {
        mHead = Optional.of(head);
    }

    void data(byte[] data) {
        mBody.writeBytes(data);
    }

    /** Notes the end; returns false if it has ended before. */
    boolean finish() {
        if (mIsOver) {
            return false;
        }
        mIsOver = true;
        mTarget.recordEnded();
        return true;
    }

    void cancel() {
        if (finish()) {
            mBreakOff.run();
        }
    }

    void abort() {
        mBreakOff.run();
    }

    TargetState target() {
        return mTarget;
    }

    long startedMs() {
        return mStartedMs;
    }

    Optional<ResponseHead> head() {
        return mHead;
    }

    byte[] body() {
        return mBody.toByteArray();
    }

    boolean isFinished() {
        return mIsOver;
    }
}
