package dev.cactusspan.forward;

import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.ResidencyRule;
import dev.cactusspan.fleet.ResponseHead;
import dev.cactusspan.fleet.TargetChooser;
import dev.cactusspan.fleet.TargetListener;
import dev.cactusspan.fleet.TargetPort;
import dev.cactusspan.fleet.TargetRequest;
import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.intake.MemoryBudget;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.SendFailure;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Forwards client requests to targets, with retries and hedging. A repeatable request is retried on
 * another target after a failure, and a hedge is sent to a second target when the first one is
 * slow. Any other request is retried only when it is proved that it has not run.
 */
public final class RequestForwarder {

    /** Delay before a refused request is retried, in milliseconds. */
    private static final long RETRY_DELAY_MS = 15;

    private static final long DEFAULT_CLIENT_TIMEOUT_MS = 30_000;
    private static final int SERVER_ERROR = 500;

    /** Outcome of a request that a target has completed. */
    private static final String ANSWERED = "answered";

    /** Outcome of a request whose client does not wait any more. */
    private static final String CLIENT_GONE = "client_gone";

    private final TargetSelection mSelection;
    private final TargetPort mPort;
    private final WaitingRequests mWaiting;
    private final UsageListener mUsageListener;
    private final CrashGuard mCrashes;
    private final StreamStart mStreams;
    private final RequestLog mLog;
    private final SplittableRandom mRandom;
    private final LongSupplier mNowMs;
    private final BodyBudget mBudget;
    private final Set<ForwardedRequest> mPending = new LinkedHashSet<>();
    private final PlannedStop mStop = new PlannedStop();
    private final SendCheck mCheck;

    /**
     * Creates a request forwarder.
     *
     * @param targets known targets
     * @param port transport to the targets
     * @param chooser selects a target
     * @param waiting the requests that wait for a target
     * @param desired supplies the current desired state
     * @param usageListener counts the requests that run
     * @param crashes keeps requests that crash targets away from further ones
     * @param origins knows where resumable streams began
     * @param responses memory of the responses that are collected
     * @param telemetry records metrics
     * @param random the source of randomness
     * @param nowMs monotonic clock in milliseconds
     */
    public RequestForwarder(
            TargetTable targets,
            TargetPort port,
            TargetChooser chooser,
            WaitingRequests waiting,
            Supplier<Optional<DesiredState>> desired,
            UsageListener usageListener,
            CrashGuard crashes,
            StreamOrigins origins,
            MemoryBudget responses,
            Telemetry telemetry,
            SplittableRandom random,
            LongSupplier nowMs) {
        mSelection = new TargetSelection(targets, chooser, origins, new ResidencyRule(desired));
        mPort = port;
        mBudget = new BodyBudget(responses);
        mWaiting = waiting;
        mUsageListener = usageListener;
        mCrashes = crashes;
        mCheck = new SendCheck(mStop, crashes);
        mStreams = new StreamStart(origins, p -> finish(p, "stream_not_recorded"));
        mLog = new RequestLog(desired, telemetry);
        mRandom = random;
        mNowMs = nowMs;
    }

    // Admission

    /**
     * Submits a request whose route is known.
     *
     * @param request the request
     * @param route the route of the request
     * @param account the client account that the request runs for
     * @param origin where the stream that the request resumes began, empty unless it resumes one
     * @param sink writes the response
     * @return an action that abandons the request, to be run when the client disconnects
     */
    public Runnable submit(
            ClientRequest request,
            FleetRoute route,
            Optional<AccountId> account,
            Optional<StreamOrigin> origin,
            ClientSink sink) {
        long nowMs = mNowMs.getAsLong();
        long clientTimeoutMs = request.clientTimeoutMs().orElse(DEFAULT_CLIENT_TIMEOUT_MS);
        long timeoutMs = route.timeoutMs() > 0 ? route.timeoutMs() : clientTimeoutMs;
        ForwardedRequest pending =
                new ForwardedRequest(
                        request,
                        sink,
                        route,
                        origin.map(StreamOrigin::service)
                                .orElseGet(() -> route.chooseService(mRandom.nextDouble())),
                        account,
                        origin,
                        nowMs,
                        nowMs - request.waitedMs() + Math.min(clientTimeoutMs, timeoutMs));
        mPending.add(pending);
        dispatch(pending);
        return () -> abandon(pending);
    }

    private void abandon(ForwardedRequest pending) {
        if (!pending.isFinished()) {
            finish(pending, CLIENT_GONE);
        }
    }

    // Dispatch

    private void dispatch(ForwardedRequest pending) {
        long nowMs = mNowMs.getAsLong();
        if (nowMs >= pending.deadlineMs()) {
            handleTimeout(pending);
            return;
        }
        Optional<SendCheck.Refusal> refusal = mCheck.refusal(pending, nowMs);
        if (refusal.isPresent()) {
            refuse(pending, refusal.get());
            return;
        }
        if (!send(pending, nowMs)) {
            waitForTarget(pending, nowMs);
        }
    }

    private boolean send(ForwardedRequest pending, long nowMs) {
        Optional<TargetState> target = choose(pending, nowMs);
        if (target.isEmpty()) {
            return false;
        }
        boolean isFirst = pending.sendCount() == 0;
        Attempt attempt = pending.start(new Attempt(target.get(), mBudget, nowMs));
        TargetRequest request = pending.toTargetRequest(mWaiting.urgency(pending), nowMs);
        attempt.setCanceller(
                mPort.send(target.get().record(), request, new AttemptListener(pending, attempt)));
        if (isFirst) {
            pending.account().ifPresent(a -> pending.setUsageUndo(mUsageListener.onStarted(a)));
        } else {
            mLog.retried();
        }
        return true;
    }

    private Optional<TargetState> choose(ForwardedRequest pending, long nowMs) {
        if (pending.isExhausted()) {
            return Optional.empty();
        }
        return mSelection.choose(pending, nowMs);
    }

    private void waitForTarget(ForwardedRequest pending, long nowMs) {
        if (pending.hasActiveAttempt()) {
            return;
        }
        Optional<Failure> outside = mSelection.outsideRegions(pending);
        if (outside.isPresent()) {
            if (pending.possibleRunCount() == 0) {
                pending.recordFailure(outside.get());
            }
            fail(pending, WaitRule.NO_TARGET_RETRY_AFTER_MS);
            return;
        }
        if (mSelection.isStreamUnservable(pending)) {
            fail(pending, 0);
            return;
        }
        OptionalLong retryAfterMs =
                pending.isExhausted()
                        ? OptionalLong.of(WaitRule.RETRY_AFTER_MS)
                        : WaitRule.rejectionMs(
                                nowMs - pending.arrivedMs(),
                                pending.deadlineMs() - pending.arrivedMs(),
                                pending.route().sloMs(),
                                mSelection.permitWaitMs(pending, nowMs));
        retryAfterMs.ifPresentOrElse(
                ms -> fail(pending, ms),
                () -> {
                    pending.retryAt(nowMs + RETRY_DELAY_MS);
                    mWaiting.add(pending, () -> send(pending, mNowMs.getAsLong()));
                });
    }

    private void refuse(ForwardedRequest pending, SendCheck.Refusal refusal) {
        if (pending.hasActiveAttempt()) {
            return;
        }
        if (pending.possibleRunCount() == 0) {
            pending.recordFailure(refusal.failure());
        }
        fail(pending, refusal.retryAfterMs());
    }

    private void fail(ForwardedRequest pending, long retryAfterMs) {
        Failure failure = pending.finalFailure();
        pending.sink().fail(failure, failure.isNotRun() ? retryAfterMs : 0);
        finish(pending, failure.kind().wireName());
    }

    // Responses

    /** Handles the response to one attempt. */
    private final class AttemptListener implements TargetListener {
        private final ForwardedRequest mRequest;
        private final Attempt mAttempt;

        AttemptListener(ForwardedRequest request, Attempt attempt) {
            mRequest = request;
            mAttempt = attempt;
        }

        @Override
        public void onHead(ResponseHead head) {
            if (mAttempt.isFinished()) {
                return;
            }
            if (!head.isFromOtherTarget()) {
                mCrashes.recordAnswer(mAttempt.target().record().id(), mAttempt.startedMs());
            }
            if (!head.isForThisRequest()) {
                mAttempt.abort();
                handleFailure(
                        mRequest,
                        mAttempt,
                        SendFailure.UNUSABLE_RESPONSE,
                        "the answer of another request");
                return;
            }
            mAttempt.setHead(head);
            if (head.isEventStream() && head.isSuccessWithDigest() && !mRequest.isStreaming()) {
                mStreams.start(mRequest, mAttempt);
                mRequest.sink().start(head.status(), head.headers());
            }
        }

        @Override
        public void onData(byte[] data, Runnable consumed) {
            if (mAttempt.isFinished()) {
                return;
            }
            if (mRequest.isStreaming()) {
                mRequest.sink().data(data, consumed);
                return;
            }
            mBudget.append(mAttempt, data, mLog);
            consumed.run();
        }

        @Override
        public void onEnd() {
            if (mAttempt.finish()) {
                handleEnd(mRequest, mAttempt);
                mAttempt.releaseBody();
            }
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            if (!mAttempt.isFinished()) {
                handleFailure(mRequest, mAttempt, failure, reason);
            }
        }
    }

    private void handleEnd(ForwardedRequest pending, Attempt attempt) {
        ResponseHead head = attempt.head().orElseThrow();
        long nowMs = mNowMs.getAsLong();
        if (pending.isStreaming()) {
            pending.sink().end();
            finish(pending, ANSWERED);
            return;
        }
        if (head.isNotRun()) {
            handleNotRun(pending, attempt, head, nowMs);
            return;
        }
        if (head.isSuccessWithDigest()) {
            attempt.target().recordSuccess(nowMs);
            attempt.target()
                    .recordRequest(pending.route().name(), nowMs - attempt.startedMs(), nowMs);
            pending.activeBefore(attempt)
                    .forEach(a -> a.target().recordLate(nowMs - a.startedMs(), nowMs));
            pending.sink().respond(head.status(), head.headers(), attempt.takeBody());
            finish(pending, ANSWERED);
            return;
        }
        boolean isFailure = head.status() >= SERVER_ERROR || head.digest().isEmpty();
        if (isFailure) {
            attempt.target().recordError(nowMs);
        }
        if (isFailure && mayRepeat(pending)) {
            handleFailedRun(pending, "the target answered " + head.status());
            return;
        }
        if (head.digest().isEmpty()) {
            handleFailedRun(pending, "the target answered " + head.status() + " without a digest");
            return;
        }
        pending.sink().respond(head.status(), head.headers(), attempt.takeBody());
        finish(pending, "target_answered_" + head.status());
    }

    private void handleNotRun(
            ForwardedRequest pending, Attempt attempt, ResponseHead head, long nowMs) {
        attempt.target().avoidUntil(nowMs + RETRY_DELAY_MS);
        pending.recordNotRun();
        pending.recordFailure(
                Failure.of(ErrorKind.OVERLOADED, "a target refused with " + head.status()));
        retry(pending, nowMs);
    }

    private void handleFailure(
            ForwardedRequest pending, Attempt attempt, SendFailure failure, String reason) {
        attempt.finish();
        attempt.releaseBody();
        long nowMs = mNowMs.getAsLong();
        if (nowMs >= pending.deadlineMs() - RETRY_DELAY_MS) {
            // The deadline was too short for the work or the target is slow, so this does not prove
            // that the connection failed.
            attempt.target().recordLate(nowMs - attempt.startedMs(), nowMs);
        } else {
            attempt.target().recordFailure(nowMs);
        }
        mLog.failed(pending, attempt, failure, reason, nowMs - attempt.startedMs());
        if (failure == SendFailure.CONNECTION_LOST && !attempt.wasTargetFailing()) {
            mCrashes.recordCrash(pending.fingerprint(), attempt.target().record().id(), nowMs);
        }
        if (pending.isStreaming()) {
            pending.sink().abort();
            finish(pending, "stream_cut");
            return;
        }
        if (!failure.mayHaveRun()) {
            pending.recordNotRun();
            pending.recordFailure(Failure.of(ErrorKind.NO_TARGET, reason));
            retry(pending, nowMs);
            return;
        }
        handleFailedRun(pending, reason);
    }

    private void handleFailedRun(ForwardedRequest pending, String reason) {
        pending.recordFailure(Failure.of(ErrorKind.TARGET_FAILED, reason));
        if (mayRepeat(pending)) {
            retry(pending, mNowMs.getAsLong());
            return;
        }
        if (!pending.hasActiveAttempt()) {
            fail(pending, WaitRule.RETRY_AFTER_MS);
        }
    }

    private static boolean mayRepeat(ForwardedRequest pending) {
        return pending.route().isRepeatable()
                && pending.possibleRunCount() < pending.route().maxAttempts();
    }

    private void retry(ForwardedRequest pending, long nowMs) {
        if (pending.hasActiveAttempt()) {
            return;
        }
        if (pending.sendCount() <= 1) {
            dispatch(pending);
            return;
        }
        pending.retryAt(nowMs + RETRY_DELAY_MS);
    }

    // Stop

    /**
     * Sends from now on only requests that end before a planned stop.
     *
     * @param endMs when {@link #endAll} is called, on the monotonic clock in milliseconds
     */
    public void beginStop(long endMs) {
        mStop.begin(endMs);
    }

    /** Ends all requests in progress: tells their clients whether they may have run. */
    public void endAll() {
        for (ForwardedRequest pending : List.copyOf(mPending)) {
            if (pending.isStreaming()) {
                pending.sink().abort();
                finish(pending, "stream_stopped");
                continue;
            }
            boolean mayHaveRun = pending.possibleRunCount() > 0;
            ErrorKind kind = mayHaveRun ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.SHUTTING_DOWN;
            pending.recordFailure(Failure.of(kind, "the process has stopped"));
            fail(pending, WaitRule.RETRY_AFTER_MS);
        }
    }

    // Time

    /** Sends due retries and hedges, and ends requests whose deadline has passed. */
    public void tick() {
        long nowMs = mNowMs.getAsLong();
        for (ForwardedRequest pending : new ArrayList<>(mPending)) {
            if (nowMs >= pending.deadlineMs()) {
                handleTimeout(pending);
            } else if (!pending.hasActiveAttempt() && nowMs >= pending.nextDispatchMs()) {
                dispatch(pending);
            } else if (isHedgeDue(pending, nowMs)) {
                dispatch(pending);
            }
        }
    }

    private boolean isHedgeDue(ForwardedRequest pending, long nowMs) {
        return HedgeRule.isDue(pending, nowMs)
                && mayRepeat(pending)
                && !(mCrashes.hasSuspects() && mCrashes.isSuspect(pending.fingerprint()));
    }

    private void handleTimeout(ForwardedRequest pending) {
        if (pending.isStreaming()) {
            pending.sink().abort();
            finish(pending, "stream_timed_out");
            return;
        }
        ErrorKind kind =
                pending.possibleRunCount() > 0
                        ? ErrorKind.DEADLINE_EXCEEDED
                        : ErrorKind.DEADLINE_BEFORE_DISPATCH;
        Failure failure = Failure.of(kind, "no answer in time");
        pending.sink().fail(failure, failure.isNotRun() ? WaitRule.RETRY_AFTER_MS : 0);
        finish(pending, kind.wireName());
    }

    private void finish(ForwardedRequest pending, String outcome) {
        long nowMs = mNowMs.getAsLong();
        if (pending.possibleRunCount() > 0 && !outcome.equals(CLIENT_GONE)) {
            mStop.record(pending.route().name(), nowMs - pending.arrivedMs(), nowMs);
        }
        pending.finish();
        mPending.remove(pending);
        if (mCrashes.hasSuspects() && outcome.equals(ANSWERED)) {
            mCrashes.recordSuccess(pending.fingerprint());
        }
        mLog.ended(pending, outcome, nowMs - pending.arrivedMs());
    }

    // Accessors

    /**
     * Returns the number of requests in progress.
     *
     * @return number of requests in progress
     */
    public int size() {
        return mPending.size();
    }
}
