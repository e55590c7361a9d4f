package dev.cactusspan.entry;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.claim.ClaimService;
import dev.cactusspan.claim.StoredResponse;
import dev.cactusspan.config.Configuration;
import dev.cactusspan.config.EnvironmentDocument;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.limit.AccountLimiter;
import dev.cactusspan.limit.DemandShares;
import dev.cactusspan.observe.LogFields;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.ExecutionStatus;
import dev.cactusspan.result.Failure;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.routing.Candidate;
import dev.cactusspan.routing.RetryBudget;
import dev.cactusspan.routing.Router;
import dev.cactusspan.wire.Message;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.logging.Level;

/** Dispatches requests to targets: claims them, chooses targets, retries and passes responses. */
final class RequestDispatcher {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final long NO_TARGET_WAIT_MS = 2_000;
    private static final int DEFAULT_WEIGHT = 1;

    private final TargetDirectory mTargets;
    private final ClaimManager mClaims;
    private final AccountLimiter mLimiter;
    private final DemandShares mShares;
    private final Router mRouter;
    private final Backoff mBackoff;
    private final UsageMeter mMeter;
    private final Telemetry mTelemetry;
    private final Supplier<Configuration> mConfiguration;
    private final LongSupplier mNowMs;
    private final Set<PendingRequest> mPending = new LinkedHashSet<>();
    private RetryBudget mBudget = new RetryBudget(0);
    private boolean mIsDraining;

    RequestDispatcher(
            TargetDirectory targets,
            ClaimService claims,
            AccountLimiter limiter,
            DemandShares shares,
            Router router,
            Backoff backoff,
            UsageMeter meter,
            Telemetry telemetry,
            Supplier<Configuration> configuration,
            LongSupplier nowMs) {
        mTargets = targets;
        mClaims = new ClaimManager(claims, new ClaimedRequests(), configuration, nowMs);
        mLimiter = limiter;
        mShares = shares;
        mRouter = router;
        mBackoff = backoff;
        mMeter = meter;
        mTelemetry = telemetry;
        mConfiguration = configuration;
        mNowMs = nowMs;
    }

    // Admission

    /** Admits a request and returns its handle, or reports a refusal to its sink. */
    Optional<PendingRequest> admit(RequestSpec spec, ResponseSink sink) {
        Optional<Failure> refusal = refusal(spec);
        if (refusal.isPresent()) {
            mTelemetry.count("refusals_total", "kind", refusal.get().kind().wireName());
            sink.fail(refusal.get());
            return Optional.empty();
        }
        PendingRequest request = new PendingRequest(spec, sink, mNowMs.getAsLong(), true);
        mPending.add(request);
        mBudget.onFirstTry();
        if (spec.isAtMostOnce()) {
            mClaims.requestClaim(request);
        } else {
            dispatch(request);
        }
        return Optional.of(request);
    }

    private Optional<Failure> refusal(RequestSpec spec) {
        if (mIsDraining) {
            return Optional.of(Failure.of(ErrorKind.SHUTTING_DOWN, "the entry is stopping"));
        }
        if (isKeyWithdrawn(spec)) {
            return Optional.of(Failure.of(ErrorKind.UNAUTHENTICATED, "the key is not valid"));
        }
        if (spec.isAtMostOnce() && spec.idempotencyKey().isEmpty()) {
            return Optional.of(
                    Failure.of(
                            ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
                            "route " + spec.route().name() + " needs Idempotency-Key"));
        }
        mShares.recordArrival(spec.account());
        return account(spec.account())
                .flatMap(a -> mLimiter.admit(a, mShares.share(a.name()), mNowMs.getAsLong()));
    }

    private Optional<EnvironmentDocument.Account> account(AccountId id) {
        return mConfiguration.get().document().account(id);
    }

    private boolean isKeyWithdrawn(RequestSpec spec) {
        return spec.keyHash().isPresent()
                && !mConfiguration.get().isKeyValid(spec.keyHash().get(), spec.account());
    }

    // Dispatch

    private void dispatch(PendingRequest request) {
        RequestSpec spec = request.spec();
        long nowMs = mNowMs.getAsLong();
        long remainingMs = request.deadlineMs() - nowMs;
        if (remainingMs <= 0) {
            fail(request, deadlineFailure(request));
            return;
        }
        Optional<TargetLink> target = chooseTarget(request);
        if (target.isEmpty()) {
            retryOrFail(request, Failure.of(ErrorKind.NO_TARGET, "no target of " + service(spec)));
            return;
        }
        long stream = target.get().newStream(request);
        Message.Submit submit =
                new Message.Submit(
                        stream,
                        spec.id(),
                        spec.account(),
                        account(spec.account()).map(a -> a.weight()).orElse(DEFAULT_WEIGHT),
                        spec.requestClass(),
                        spec.method(),
                        spec.path(),
                        spec.headers(),
                        spec.body(),
                        remainingMs,
                        spec.labelled());
        request.recordDispatch(target.get(), stream, nowMs);
        request.apply(RequestEvent.DISPATCH);
        if (!target.get().link().send(submit)) {
            target.get().forget(stream);
            retryOrFail(request, Failure.of(ErrorKind.NO_TARGET, "the link is down"));
        }
    }

    private static String service(RequestSpec spec) {
        return spec.route().service().value();
    }

    private Optional<TargetLink> chooseTarget(PendingRequest request) {
        RequestSpec spec = request.spec();
        Map<Candidate, TargetLink> byCandidate = new HashMap<>();
        List<Candidate> untried = new ArrayList<>();
        List<Candidate> all = new ArrayList<>();
        for (TargetLink target : mTargets.usableTargets(spec.route().service())) {
            Candidate candidate = target.candidate();
            if (spec.minVersion().isAfter(candidate.version())) {
                continue;
            }
            byCandidate.put(candidate, target);
            all.add(candidate);
            if (!request.triedTargets().contains(candidate.target())) {
                untried.add(candidate);
            }
        }
        List<Candidate> candidates = untried.isEmpty() ? all : untried;
        return mRouter.choose(candidates, spec.affinity()).map(byCandidate::get);
    }

    private static Failure deadlineFailure(PendingRequest request) {
        return request.mayHaveRun()
                ? Failure.of(ErrorKind.DEADLINE_EXCEEDED, "no answer in time")
                : Failure.of(ErrorKind.DEADLINE_BEFORE_DISPATCH, "no target took it in time");
    }

    // Responses

    void onHead(TargetLink target, Message.Head head) {
        PendingRequest request = target.request(head.stream());
        if (request == null || !request.apply(RequestEvent.HEAD)) {
            return;
        }
        mClaims.recorder(request).ifPresent(r -> r.head(head.status(), head.contentType()));
        request.sink().head(head.status(), head.contentType());
    }

    void onChunk(TargetLink target, Message.Chunk chunk) {
        PendingRequest request = target.request(chunk.stream());
        if (request == null) {
            return;
        }
        long nowMs = mNowMs.getAsLong();
        boolean isNext = request.acceptChunk(chunk.sequence(), chunk.data().length, nowMs);
        if (!isNext) {
            abortResponse(request, "parts of the answer are out of order");
            return;
        }
        mClaims.recorder(request).ifPresent(r -> r.data(chunk.data()));
        request.sink().data(chunk.data());
    }

    void onEnd(TargetLink target, Message.End end) {
        PendingRequest request = target.request(end.stream());
        if (request == null) {
            return;
        }
        if (!request.isComplete(end.chunks(), end.answerBytes())) {
            abortResponse(request, "parts of the answer are missing");
            return;
        }
        if (!request.apply(RequestEvent.END)) {
            return;
        }
        mClaims.recorder(request).ifPresent(ClaimRecorder::store);
        request.sink().end(end.labels());
        if (request.isLimited()) {
            mMeter.count(request.spec().account(), end.answerBytes());
        }
        finish(request, "answered");
    }

    /** Cancels a response that cannot be completed at the target, and fails or retries it. */
    private void abortResponse(PendingRequest request, String detail) {
        request.target().ifPresent(t -> t.link().send(new Message.Cancel(request.stream())));
        onTargetLost(request, Failure.of(ErrorKind.ANSWER_CUT, detail));
    }

    void onRefused(TargetLink target, Message.Refused refused) {
        PendingRequest request = target.request(refused.stream());
        if (request == null) {
            return;
        }
        Failure failure = Failure.of(refused.kind(), refused.detail());
        if (failure.isNotRun()) {
            detach(request);
            retryOrFail(request, failure);
            return;
        }
        onTargetLost(request, failure);
    }

    void onLinkDown(TargetLink target) {
        for (PendingRequest request : new ArrayList<>(target.streams().values())) {
            onTargetLost(
                    request, Failure.of(ErrorKind.TARGET_FAILED, "the link to the target is down"));
        }
    }

    /** Handles the loss of a request that was sent and may have run: fails or retries it. */
    private void onTargetLost(PendingRequest request, Failure failure) {
        request.markMayHaveRun();
        detach(request);
        if (request.spec().isAtMostOnce()) {
            fail(request, ClaimManager.unknownOutcome(failure.detail()));
            return;
        }
        boolean isPartlySent =
                request.state() == RequestState.ANSWERING && request.sink().isStreaming();
        if (isPartlySent) {
            fail(request, Failure.of(ErrorKind.ANSWER_CUT, failure.detail()));
            return;
        }
        retryOrFail(request, failure);
    }

    private void detach(PendingRequest request) {
        request.target().ifPresent(t -> t.forget(request.stream()));
        request.clearTarget();
    }

    private void retryOrFail(PendingRequest request, Failure failure) {
        EnvironmentDocument.Bounds bounds = mConfiguration.get().document().bounds();
        boolean isRetry = request.attempts() > 0;
        boolean isAllowed =
                isRetry
                        ? request.attempts() <= bounds.retries() && mBudget.tryRetry()
                        : mNowMs.getAsLong() - request.arrivedMs() < NO_TARGET_WAIT_MS;
        boolean isRepeatable =
                request.state() == RequestState.WAITING || request.apply(RequestEvent.RETRY);
        if (!isAllowed || !isRepeatable) {
            fail(request, request.mayHaveRun() ? asMayHaveRun(failure) : failure);
            return;
        }
        if (isRetry) {
            mTelemetry.count("retries_total");
        }
        request.setRetryAtMs(mNowMs.getAsLong() + mBackoff.delayMs(request.attempts()));
    }

    /** Replaces a "not run" failure of the last attempt, as an earlier attempt may have run. */
    private static Failure asMayHaveRun(Failure failure) {
        return failure.tableRow().ran() == ExecutionStatus.NO
                ? Failure.of(ErrorKind.TARGET_FAILED, "an earlier try failed; " + failure)
                : failure;
    }

    // Time, revisions and cancellation

    void tick() {
        long nowMs = mNowMs.getAsLong();
        for (PendingRequest request : new ArrayList<>(mPending)) {
            if (nowMs >= request.deadlineMs()) {
                onDeadline(request);
            } else if (request.pollClaimRetryDue(nowMs)) {
                mClaims.requestClaim(request);
            } else if (request.state() == RequestState.WAITING && nowMs >= request.retryAtMs()) {
                dispatch(request);
            }
        }
    }

    private void onDeadline(PendingRequest request) {
        if (request.target().isPresent()) {
            request.markMayHaveRun();
            request.target().get().link().send(new Message.Cancel(request.stream()));
        }
        boolean isUnknown = request.mayHaveRun() && request.spec().isAtMostOnce();
        fail(
                request,
                isUnknown
                        ? ClaimManager.unknownOutcome("no answer in time")
                        : deadlineFailure(request));
    }

    /** Applies a new configuration and ends the requests whose key was withdrawn. */
    void onConfiguration(Configuration configuration) {
        mBudget = new RetryBudget(configuration.document().bounds().retryBudgetPercent());
        for (PendingRequest request : new ArrayList<>(mPending)) {
            if (isKeyWithdrawn(request.spec())) {
                endWithdrawn(request);
            }
        }
    }

    private void endWithdrawn(PendingRequest request) {
        boolean isSent = request.target().isPresent() || request.mayHaveRun();
        request.target().ifPresent(t -> t.link().send(new Message.Cancel(request.stream())));
        ErrorKind kind = isSent ? ErrorKind.KEY_WITHDRAWN : ErrorKind.UNAUTHENTICATED;
        fail(request, Failure.of(kind, "the key was withdrawn"));
    }

    /**
     * Cancels the request of a caller that disconnected. A non-idempotent request continues, so
     * that its response is stored with its claim.
     */
    void onCallerDisconnected(PendingRequest request) {
        if (request.isFinished() || request.spec().isAtMostOnce()) {
            return;
        }
        request.target().ifPresent(t -> t.link().send(new Message.Cancel(request.stream())));
        fail(request, Failure.of(ErrorKind.ANSWER_CUT, "the caller is gone"));
    }

    private void fail(PendingRequest request, Failure failure) {
        if (request.isFinished()) {
            return;
        }
        request.apply(RequestEvent.FAIL);
        if (request.isClaimed() && !request.mayHaveRun() && request.target().isEmpty()) {
            mClaims.recorder(request).ifPresent(ClaimRecorder::release);
        }
        request.sink().fail(failure);
        finish(request, failure.kind().wireName());
    }

    private void finish(PendingRequest request, String outcome) {
        Optional<TargetId> target = request.target().map(TargetLink::target);
        detach(request);
        mPending.remove(request);
        mClaims.forget(request);
        RequestSpec spec = request.spec();
        if (request.isLimited()) {
            mLimiter.release(spec.account());
        }
        long durationMs = mNowMs.getAsLong() - request.arrivedMs();
        mTelemetry.record("request_ms", spec.account(), spec.requestClass(), durationMs);
        mTelemetry.count("requests_total", "account", spec.account().value(), "outcome", outcome);
        logOutcome(request, target, outcome, durationMs);
    }

    private void logOutcome(
            PendingRequest request, Optional<TargetId> target, String outcome, long durationMs) {
        RequestSpec spec = request.spec();
        boolean isRollout = spec.requestClass() == EnvironmentDocument.RequestClass.ROLLOUT;
        sLog.at(isRollout ? Level.FINE : Level.INFO)
                .with(LogFields.REQUEST, spec.id())
                .with(LogFields.TARGET, target.orElse(null))
                .with(LogFields.ACCOUNT, spec.account())
                .with(LogFields.REVISION, mConfiguration.get().revision())
                .with(LogFields.OUTCOME, outcome)
                .with(LogFields.TOOK_MS, durationMs)
                .log(
                        "request on route %s ended after %d attempts",
                        spec.route().name(), request.attempts());
    }

    // Accessors

    void drain() {
        mIsDraining = true;
    }

    boolean isIdle() {
        return mPending.isEmpty();
    }

    int pendingCount() {
        return mPending.size();
    }

    /** Handles the outcomes of requested claims. */
    private final class ClaimedRequests implements ClaimManager.Listener {
        @Override
        public void granted(PendingRequest request) {
            dispatch(request);
        }

        @Override
        public void repeated(PendingRequest request, StoredResponse response) {
            request.apply(RequestEvent.FAIL);
            request.sink().head(response.status(), response.contentType());
            request.sink().data(response.body());
            request.sink().end(List.of());
            finish(request, "repeated");
        }

        @Override
        public void refused(PendingRequest request, Failure failure) {
            fail(request, failure);
        }

        @Override
        public void sendStatusCheck(RequestSpec spec, ResponseSink sink) {
            PendingRequest query = new PendingRequest(spec, sink, mNowMs.getAsLong(), false);
            mPending.add(query);
            dispatch(query);
        }
    }
}
