package dev.cactusspan.forward;

import dev.cactusspan.fleet.TargetHead;
import dev.cactusspan.fleet.TargetState;
import java.io.ByteArrayOutputStream;
import java.util.Optional;

/** One send of a request to one target. */
final class Attempt {
    private final TargetState mTarget;
    private final long mStartedMs;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private Runnable mBreakOff = () -> {};
    private Optional<TargetHead> mHead = Optional.empty();
    private boolean mIsOver;

    Attempt(TargetState target, long startedMs) {
        mTarget = target;
        mStartedMs = startedMs;
        target.sent();
    }

    void breakOffWith(Runnable breakOff) {
        mBreakOff = breakOff;
    }

    void head(TargetHead head) {
        mHead = Optional.of(head);
    }

    void data(byte[] data) {
        mBody.writeBytes(data);
    }

    /** Notes the end; returns false if it has ended before. */
    boolean over() {
        if (mIsOver) {
            return false;
        }
        mIsOver = true;
        mTarget.ended();
        return true;
    }

    void cancel() {
        if (over()) {
            mBreakOff.run();
        }
    }

    void breakOff() {
        mBreakOff.run();
    }

    TargetState target() {
        return mTarget;
    }

    long startedMs() {
        return mStartedMs;
    }

    Optional<TargetHead> head() {
        return mHead;
    }

    byte[] body() {
        return mBody.toByteArray();
    }

    boolean isOver() {
        return mIsOver;
    }
}
