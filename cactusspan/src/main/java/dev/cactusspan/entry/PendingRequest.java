package dev.cactusspan.entry;

import dev.cactusspan.chart.StateChart;
import dev.cactusspan.chart.StateMachine;
import dev.cactusspan.id.TargetId;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** A request in progress at an entry. */
final class PendingRequest {
    private static final StateChart<RequestState, RequestEvent> CHART =
            StateChart.load(
                    "/dev/cactusspan/chart/request.json", RequestState.class, RequestEvent.class);

    private final RequestSpec mSpec;
    private final AnswerSink mSink;
    private final long mArrivedMs;
    private final long mDeadlineMs;
    private final boolean mIsLimited;
    private final Set<TargetId> mTried = new HashSet<>();
    private final StateMachine<RequestState, RequestEvent> mPosition = StateMachine.of(CHART);
    private Optional<TargetLink> mTarget = Optional.empty();
    private long mStream;
    private int mAttempts;
    private int mChunks;
    private long mAnswerBytes;
    private long mProgressMs;
    private long mRetryAtMs;
    private long mAskAgainAtMs = Long.MAX_VALUE;
    private boolean mIsClaimed;
    private boolean mMayHaveRun;

    PendingRequest(RequestSpec spec, AnswerSink sink, long nowMs, boolean isLimited) {
        mSpec = spec;
        mSink = sink;
        mArrivedMs = nowMs;
        mDeadlineMs = nowMs + spec.deadlineMs();
        mRetryAtMs = nowMs;
        mIsLimited = isLimited;
    }

    // Operations

    /** Applies an event and tells whether the chart allows it. */
    boolean apply(RequestEvent event) {
        return mPosition.apply(event);
    }

    void dispatchedTo(TargetLink target, long stream, long nowMs) {
        mTarget = Optional.of(target);
        mStream = stream;
        mAttempts++;
        mChunks = 0;
        mAnswerBytes = 0;
        mProgressMs = nowMs;
        mTried.add(target.target());
    }

    void detached() {
        mTarget = Optional.empty();
    }

    /** Counts a part of the answer and tells whether it is the next one. */
    boolean takeChunk(int sequence, int sizeBytes, long nowMs) {
        if (sequence != mChunks) {
            return false;
        }
        mChunks++;
        mAnswerBytes += sizeBytes;
        mProgressMs = nowMs;
        return true;
    }

    boolean isWhole(int chunks, long answerBytes) {
        return mChunks == chunks && mAnswerBytes == answerBytes;
    }

    void retryAt(long timeMs) {
        mRetryAtMs = timeMs;
    }

    /** Sets when to ask for the claim again. */
    void askAgainAt(long timeMs) {
        mAskAgainAtMs = timeMs;
    }

    /** Tells whether it is time to ask for the claim again, and if so resets that time. */
    boolean isAskAgainDue(long nowMs) {
        boolean isDue = mPosition.state() == RequestState.CLAIMING && nowMs >= mAskAgainAtMs;
        if (isDue) {
            mAskAgainAtMs = Long.MAX_VALUE;
        }
        return isDue;
    }

    void claimed() {
        mIsClaimed = true;
    }

    /** Notes that no proof exists that the request has not run. */
    void mayHaveRun() {
        mMayHaveRun = true;
    }

    // Accessors

    RequestSpec spec() {
        return mSpec;
    }

    AnswerSink sink() {
        return mSink;
    }

    RequestState state() {
        return mPosition.state();
    }

    boolean isOver() {
        return mPosition.isFinal();
    }

    Optional<TargetLink> target() {
        return mTarget;
    }

    long stream() {
        return mStream;
    }

    int attempts() {
        return mAttempts;
    }

    long arrivedMs() {
        return mArrivedMs;
    }

    long deadlineMs() {
        return mDeadlineMs;
    }

    long progressMs() {
        return mProgressMs;
    }

    long retryAtMs() {
        return mRetryAtMs;
    }

    boolean isClaimed() {
        return mIsClaimed;
    }

    boolean isMayHaveRun() {
        return mMayHaveRun;
    }

    /** Tells whether the request counts against the limits of its account. */
    boolean isLimited() {
        return mIsLimited;
    }

    Set<TargetId> tried() {
        return mTried;
    }
}
