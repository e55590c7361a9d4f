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
    private final ResponseSink mSink;
    private final long mArrivedMs;
    private final long mDeadlineMs;
    private final boolean mIsLimited;
    private final Set<TargetId> mTriedTargets = new HashSet<>();
    private final StateMachine<RequestState, RequestEvent> mPosition = StateMachine.of(CHART);
    private Optional<TargetLink> mTarget = Optional.empty();
    private long mStream;
    private int mAttempts;
    private int mChunks;
    private long mResponseBytes;
    private long mProgressMs;
    private long mRetryAtMs;
    private long mClaimRetryAtMs = Long.MAX_VALUE;
    private boolean mIsClaimed;
    private boolean mMayHaveRun;

    PendingRequest(RequestSpec spec, ResponseSink sink, long nowMs, boolean isLimited) {
        mSpec = spec;
        mSink = sink;
        mArrivedMs = nowMs;
        mDeadlineMs = nowMs + spec.deadlineMs();
        mRetryAtMs = nowMs;
        mIsLimited = isLimited;
    }

    // Operations

    /** Applies an event and returns whether the state chart allows it. */
    boolean apply(RequestEvent event) {
        return mPosition.apply(event);
    }

    void recordDispatch(TargetLink target, long stream, long nowMs) {
        mTarget = Optional.of(target);
        mStream = stream;
        mAttempts++;
        mChunks = 0;
        mResponseBytes = 0;
        mProgressMs = nowMs;
        mTriedTargets.add(target.target());
    }

    void clearTarget() {
        mTarget = Optional.empty();
    }

    /** Counts a chunk of the response if it is the next one, and returns whether it is. */
    boolean acceptChunk(int sequence, int sizeBytes, long nowMs) {
        if (sequence != mChunks) {
            return false;
        }
        mChunks++;
        mResponseBytes += sizeBytes;
        mProgressMs = nowMs;
        return true;
    }

    boolean isComplete(int chunks, long responseBytes) {
        return mChunks == chunks && mResponseBytes == responseBytes;
    }

    void setRetryAtMs(long timeMs) {
        mRetryAtMs = timeMs;
    }

    /** Sets the time at which to request the claim again. */
    void setClaimRetryAtMs(long timeMs) {
        mClaimRetryAtMs = timeMs;
    }

    /** Returns whether it is time to request the claim again and, if so, resets that time. */
    boolean pollClaimRetryDue(long nowMs) {
        boolean isDue = mPosition.state() == RequestState.CLAIMING && nowMs >= mClaimRetryAtMs;
        if (isDue) {
            mClaimRetryAtMs = Long.MAX_VALUE;
        }
        return isDue;
    }

    void markClaimed() {
        mIsClaimed = true;
    }

    /** Records that the request may have run, as there is no proof that it has not. */
    void markMayHaveRun() {
        mMayHaveRun = true;
    }

    // Accessors

    RequestSpec spec() {
        return mSpec;
    }

    ResponseSink sink() {
        return mSink;
    }

    RequestState state() {
        return mPosition.state();
    }

    boolean isFinished() {
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

    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Returns whether the request counts against the limits of its account. */
    boolean isLimited() {
        return mIsLimited;
    }

    Set<TargetId> triedTargets() {
        return mTriedTargets;
    }
}
