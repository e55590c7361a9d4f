package dev.cactusspan.forward;

import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.result.Failure;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** A client's request on its way through targets. */
final class ForwardedRequest {
    private final ClientRequest mRequest;
    private final ClientSink mSink;
    private final FleetRoute mRoute;
    private final ServiceId mService;
    private final Optional<AccountId> mAccount;
    private final long mArrivedMs;
    private final long mGiveUpMs;
    private final Set<TargetId> mTried = new HashSet<>();
    private final List<Attempt> mAttempts = new ArrayList<>();
    private int mSends;
    private int mRuns;
    private boolean mIsStreaming;
    private boolean mIsOver;
    private long mNextMs;
    private Optional<Failure> mLastFailure = Optional.empty();

    ForwardedRequest(
            ClientRequest request,
            ClientSink sink,
            FleetRoute route,
            ServiceId service,
            Optional<AccountId> account,
            long arrivedMs,
            long giveUpMs) {
        mRequest = request;
        mSink = sink;
        mRoute = route;
        mService = service;
        mAccount = account;
        mArrivedMs = arrivedMs;
        mGiveUpMs = giveUpMs;
    }

    Attempt start(Attempt attempt) {
        mAttempts.add(attempt);
        mTried.add(attempt.target().record().id());
        mSends++;
        mRuns++;
        return attempt;
    }

    /** Notes proof that a send did not run. */
    void recordNotRun() {
        mRuns--;
    }

    void finish() {
        mIsOver = true;
        mAttempts.forEach(Attempt::cancel);
    }

    boolean hasActiveAttempt() {
        return mAttempts.stream().anyMatch(a -> !a.isFinished());
    }

    /** Lists attempts that wait though they were sent before another one. */
    List<Attempt> activeBefore(Attempt other) {
        return mAttempts.subList(0, mAttempts.indexOf(other)).stream()
                .filter(a -> !a.isFinished())
                .toList();
    }

    void retryAt(long atMs) {
        mNextMs = atMs;
    }

    void recordFailure(Failure failure) {
        mLastFailure = Optional.of(failure);
    }

    void markStreaming() {
        mIsStreaming = true;
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

    Optional<AccountId> account() {
        return mAccount;
    }

    long arrivedMs() {
        return mArrivedMs;
    }

    long deadlineMs() {
        return mGiveUpMs;
    }

    Set<TargetId> triedTargets() {
        return mTried;
    }

    /** Sends so far, those that were refused among them. */
    int sendCount() {
        return mSends;
    }

    /** Sends that may have run. */
    int possibleRunCount() {
        return mRuns;
    }

    long nextDispatchMs() {
        return mNextMs;
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
        return mIsOver;
    }
}
