package dev.cactusspan.forward;

import dev.cactusspan.fleet.ResponseHead;
import dev.cactusspan.fleet.TargetState;
import java.io.ByteArrayOutputStream;
import java.util.Optional;

/** One attempt to run a request at one target. */
final class Attempt {
    private final TargetState mTarget;
    private final long mStartedMs;
    private final boolean mWasTargetFailing;
    private final BodyBudget mBudget;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private Runnable mCanceller = () -> {};
    private Optional<ResponseHead> mHead = Optional.empty();
    private boolean mIsFinished;
    private boolean mIsBodyDropped;

    Attempt(TargetState target, BodyBudget budget, long startedMs) {
        mTarget = target;
        mBudget = budget;
        mStartedMs = startedMs;
        mWasTargetFailing = target.isFailing(startedMs);
        target.recordSent(startedMs);
    }

    /** Sets the action that cancels the exchange with the target. */
    void setCanceller(Runnable canceller) {
        mCanceller = canceller;
    }

    void setHead(ResponseHead head) {
        mHead = Optional.of(head);
    }

    void appendBody(byte[] data) {
        if (!mIsBodyDropped) {
            mBody.writeBytes(data);
            mBudget.add(this, data.length);
        }
    }

    /** Drops the body and cancels the exchange, which then reports a failure. */
    void dropBody() {
        mIsBodyDropped = true;
        mBudget.release(this);
        mBody.reset();
        mCanceller.run();
    }

    /** Marks the attempt as finished; returns false if it was finished already. */
    boolean finish() {
        if (mIsFinished) {
            return false;
        }
        mIsFinished = true;
        mBudget.release(this);
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

    /** Returns whether the target was failing when the attempt was started. */
    boolean wasTargetFailing() {
        return mWasTargetFailing;
    }

    Optional<ResponseHead> head() {
        return mHead;
    }

    byte[] body() {
        return mBody.toByteArray();
    }

    int bodyBytes() {
        return mBody.size();
    }

    boolean isFinished() {
        return mIsFinished;
    }
}
