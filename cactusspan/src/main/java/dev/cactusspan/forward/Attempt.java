package dev.cactusspan.forward;

import dev.cactusspan.fleet.ResponseHead;
import dev.cactusspan.fleet.TargetState;
import java.io.ByteArrayOutputStream;
import java.util.Optional;

/** One attempt to run a request at one target. */
final class Attempt {
    private final TargetState mTarget;
    private final long mStartedMs;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private Runnable mCanceller = () -> {};
    private Optional<ResponseHead> mHead = Optional.empty();
    private boolean mIsFinished;

    Attempt(TargetState target, long startedMs) {
        mTarget = target;
        mStartedMs = startedMs;
        target.recordSent();
    }

    /** Sets the action that cancels the exchange with the target. */
    void setCanceller(Runnable canceller) {
        mCanceller = canceller;
    }

    void setHead(ResponseHead head) {
        mHead = Optional.of(head);
    }

    void appendBody(byte[] data) {
        mBody.writeBytes(data);
    }

    /** Marks the attempt as finished; returns false if it was finished already. */
    boolean finish() {
        if (mIsFinished) {
            return false;
        }
        mIsFinished = true;
        mTarget.recordEnded();
        return true;
    }

    /** Cancels the exchange unless the attempt has finished. */
    void cancel() {
        if (finish()) {
            mCanceller.run();
        }
    }

    /** Cancels the exchange without marking the attempt as finished. */
    void abort() {
        mCanceller.run();
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
        return mIsFinished;
    }
}
