package dev.cactusspan.forward;

import dev.cactusspan.fleet.TargetHead;
import dev.cactusspan.fleet.TargetState;
import java.io.ByteArrayOutputStream;
import java.util.Optional;

/** One attempt to run a request at one target. */
final class Attempt {
    private final TargetState mTarget;
    private final long mStartedMs;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private Runnable mCanceller = () -> {};
    private Optional<TargetHead> mHead = Optional.empty();
    private boolean mIsFinished;

    Attempt(TargetState target, long startedMs) {
        mTarget = target;
        mStartedMs = startedMs;
        target.sent();
    }

    /** Sets the action that cancels the exchange with the target. */
    void breakOffWith(Runnable canceller) {
        mCanceller = canceller;
    }

    void head(TargetHead head) {
        mHead = Optional.of(head);
    }

    void data(byte[] data) {
        mBody.writeBytes(data);
    }

    /** Marks the attempt as finished; returns false if it was finished already. */
    boolean over() {
        if (mIsFinished) {
            return false;
        }
        mIsFinished = true;
        mTarget.ended();
        return true;
    }

    /** Cancels the exchange unless the attempt has finished. */
    void cancel() {
        if (over()) {
            mCanceller.run();
        }
    }

    /** Cancels the exchange without marking the attempt as finished. */
    void breakOff() {
        mCanceller.run();
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
        return mIsFinished;
    }
}
