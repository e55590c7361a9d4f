package dev.cactusspan.forward;

import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.TargetRequest;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

/** State of a client request while it is being forwarded. */
final class ForwardedRequest {
    /** Maximum number of sends of one request, including refused ones. */
    private static final int MAX_SENDS = 8;

    private final ClientRequest mRequest;
    private ClientSink mSink;
    private final FleetRoute mRoute;
    private final ServiceId mService;
    private final Optional<AccountId> mAccount;
    private final Optional<StreamOrigin> mOrigin;
    private final long mArrivedMs;
    private final long mDeadlineMs;
    private final Set<TargetId> mTriedTargets = new HashSet<>();
    private final List<Attempt> mAttempts = new ArrayList<>();
    private int mSendCount;
    private int mPossibleRunCount;
    private Runnable mUsageUndo = () -> {};
    private boolean mIsStreaming;
    private boolean mIsFinished;
    private boolean mIsInLine;
    private long mNextDispatchMs;
    private Optional<RequestFingerprint> mFingerprint = Optional.empty();
    private Optional<Failure> mLastFailure = Optional.empty();

    ForwardedRequest(
            ClientRequest request,
            ClientSink sink,
            FleetRoute route,
            ServiceId service,
            Optional<AccountId> account,
            Optional<StreamOrigin> origin,
            long arrivedMs,
            long deadlineMs) {
        mRequest = request;
        mSink = sink;
        mRoute = route;
        mService = service;
        mAccount = account;
        mOrigin = origin;
        mArrivedMs = arrivedMs;
        mDeadlineMs = deadlineMs;
    }

    /** Adds an attempt, which counts as run until {@link #recordNotRun} is called. */
    Attempt start(Attempt attempt) {
        mAttempts.add(attempt);
        mTriedTargets.add(attempt.target().record().id());
        mSendCount++;
        mIsInLine = false;
        mPossibleRunCount++;
        return attempt;
    }

    /** Sets the action that takes the request back from the account's usage. */
    void setUsageUndo(Runnable usageUndo) {
        mUsageUndo = usageUndo;
    }

    /** Records proof that an attempt has not run. */
    void recordNotRun() {
        mPossibleRunCount--;
    }

    /** Marks the request as finished and cancels its active attempts. */
    void finish() {
        mIsFinished = true;
        if (mPossibleRunCount == 0) {
            mUsageUndo.run();
        }
        mAttempts.forEach(Attempt::cancel);
    }

    /** Records that the request waits in line; returns false if it did so already. */
    boolean enterLine() {
        boolean isNew = !mIsInLine;
        mIsInLine = true;
        return isNew;
    }

    boolean hasActiveAttempt() {
        return mAttempts.stream().anyMatch(a -> !a.isFinished());
    }

    /** Returns the unfinished attempts that were started before the given one. */
    List<Attempt> activeBefore(Attempt other) {
        return mAttempts.subList(0, mAttempts.indexOf(other)).stream()
                .filter(a -> !a.isFinished())
                .toList();
    }

    void retryAt(long atMs) {
        mNextDispatchMs = atMs;
    }

    void recordFailure(Failure failure) {
        mLastFailure = Optional.of(failure);
    }

    /** Passes the stream of an attempt on to the client; all other attempts are cancelled. */
    void startStreaming(Attempt attempt) {
        mIsStreaming = true;
        mAttempts.stream().filter(a -> a != attempt).forEach(Attempt::cancel);
    }

    /** Passes the response to another sink from now on. */
    void setSink(ClientSink sink) {
        mSink = sink;
    }

    // Accessors

    /** Returns the request as it is sent to a target now. */
    TargetRequest toTargetRequest(OptionalInt priority, long nowMs) {
        return new TargetRequest(
                mRequest.id().value(),
                mRequest.method(),
                mRequest.path(),
                mRequest.host(),
                mRequest.headers(),
                mRequest.body(),
                mAccount,
                Math.max(1, mDeadlineMs - nowMs),
                mRoute.isResumable() ? mRequest.resumeAfter() : OptionalLong.empty(),
                priority);
    }

    /** Returns the failure that the client is told when there are no further attempts. */
    Failure finalFailure() {
        return mPossibleRunCount > 0
                ? mLastFailure
                        .filter(f -> !f.isNotRun())
                        .orElse(Failure.of(ErrorKind.TARGET_FAILED, "the targets failed"))
                : mLastFailure
                        .filter(Failure::isNotRun)
                        .orElse(Failure.of(ErrorKind.NO_TARGET, "no target takes it"));
    }

    /** Returns where the stream that the request resumes began, empty unless it resumes one. */
    Optional<StreamOrigin> origin() {
        return mOrigin;
    }

    ClientRequest request() {
        return mRequest;
    }

    ClientSink sink() {
        return mSink;
    }

    FleetRoute route() {
        return mRoute;
    }

    ServiceId service() {
        return mService;
    }

    /** Returns the fingerprint, which is computed when it is first needed. */
    RequestFingerprint fingerprint() {
        if (mFingerprint.isEmpty()) {
            mFingerprint = Optional.of(RequestFingerprint.of(mRequest, mAccount));
        }
        return mFingerprint.get();
    }

    Optional<AccountId> account() {
        return mAccount;
    }

    long arrivedMs() {
        return mArrivedMs;
    }

    long deadlineMs() {
        return mDeadlineMs;
    }

    Set<TargetId> triedTargets() {
        return mTriedTargets;
    }

    /** Returns the software version of the latest attempt's target, empty without an attempt. */
    String latestSoftware() {
        return mAttempts.isEmpty()
                ? ""
                : mAttempts.get(mAttempts.size() - 1).target().record().software().value();
    }

    /** Returns the number of attempts so far, including refused ones. */
    int sendCount() {
        return mSendCount;
    }

    /** Returns whether the request may be sent no more. */
    boolean isExhausted() {
        return mSendCount >= MAX_SENDS || mPossibleRunCount >= mRoute.maxAttempts();
    }

    /** Returns the number of attempts that may have run. */
    int possibleRunCount() {
        return mPossibleRunCount;
    }

    long nextDispatchMs() {
        return mNextDispatchMs;
    }

    long lastSentMs() {
        return mAttempts.isEmpty() ? 0 : mAttempts.get(mAttempts.size() - 1).startedMs();
    }

    Optional<Failure> lastFailure() {
        return mLastFailure;
    }

    boolean isStreaming() {
        return mIsStreaming;
    }

    boolean isFinished() {
        return mIsFinished;
    }
}
