package dev.cactusspan.forward;

import dev.cactusspan.fleet.ResponseHead;
import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.intake.Body;
import dev.cactusspan.intake.HeldBody;
import java.util.Optional;

/** One attempt to run a request at one target. */
final class Attempt {
    private final TargetState mTarget;
    private final long mStartedMs;
    private final boolean mWasTargetFailing;
    private final BodyBudget mBudget;
    private final HeldBody mBody;
    private Runnable mCanceller = () -> {};
    private Optional<ResponseHead> mHead = Optional.empty();
    private boolean mIsFinished;
    private boolean mIsBodyDropped;

    Attempt(TargetState target, BodyBudget budget, long startedMs) {
        mTarget = target;
        mBudget = budget;
        mBody = budget.newBody();
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

    /** Adds bytes to the body; returns false if there is no memory for them. */
    boolean appendBody(byte[] data) {
        if (mIsBodyDropped) {
            return true;
        }
        mBudget.add(this);
        return mBody.add(data);
    }

    /** Drops the body and cancels the exchange, which then reports a failure. */
    void dropBody() {
        releaseBody();
        mCanceller.run();
    }

    /** Lets go of the body. */
    void releaseBody() {
        mIsBodyDropped = true;
        mBudget.remove(this);
        mBody.close();
    }

    /** Moves the body and what is held for it to the caller. */
    Body takeBody() {
        mIsBodyDropped = true;
        mBudget.remove(this);
        return mBody.take();
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
            releaseBody();
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

    long bodyBytes() {
        return mBody.length();
    }

    boolean isFinished() {
        return mIsFinished;
    }
}
