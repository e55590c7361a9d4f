package dev.cactusspan.forward;

import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.ResponseHead;
import dev.cactusspan.fleet.RouteKind;
import dev.cactusspan.fleet.TargetChooser;
import dev.cactusspan.fleet.TargetListener;
import dev.cactusspan.fleet.TargetPort;
import dev.cactusspan.fleet.TargetRequest;
import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.Revision;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Takes client requests to targets. A request that may be repeated is sent to another target when
 * one fails, and to a second one beside the first when the first is late. Any other request is sent
 * again only with proof that it has not run.
 */
public final class RequestForwarder {

    /** Sends of one request at most, refused ones among them. */
    private static final int MAX_SENDS = 8;

    /** Pause before a request is sent again after a refusal, in milliseconds. */
    private static final long RETRY_MS = 15;

    /** Share of the objective after which a second target is asked beside the first. */
    private static final double HEDGE_SHARE = 0.4;

    /** Share of the objective that a request waits for a target before it is refused. */
    private static final double WAIT_SHARE = 0.2;

    /** When a refused client should come back, in milliseconds. */
    private static final long COME_BACK_MS = 60;

    private static final long DEFAULT_PATIENCE_MS = 30_000;
    private static final int SERVER_ERROR = 500;

    private final TargetTable mTargets;
    private final TargetPort mPort;
    private final TargetChooser mChooser;
    private final Supplier<Optional<DesiredState>> mDesired;
    private final Consumer<AccountId> mUsage;
    private final Telemetry mTelemetry;
    private final SplittableRandom mRandom;
    private final LongSupplier mNowMs;
    private final Set<ForwardedRequest> mPending = new LinkedHashSet<>();

    /**
     * Creates the desk.
     *
     * @param targets the targets
     * @param port sends to targets
     * @param chooser chooses among targets
     * @param desired gives the desired state in force
     * @param usage is told of each request that begins to run
     * @param telemetry metrics
     * @param random the source of randomness
     * @param nowMs steady clock in milliseconds
     */
    public RequestForwarder(
            TargetTable targets,
            TargetPort port,
            TargetChooser chooser,
            Supplier<Optional<DesiredState>> desired,
            Consumer<AccountId> usage,
            Telemetry telemetry,
            SplittableRandom random,
            LongSupplier nowMs) {
        mTargets = targets;
        mPort = port;
        mChooser = chooser;
        mDesired = desired;
        mUsage = usage;
        mTelemetry = telemetry;
        mRandom = random;
        mNowMs = nowMs;
    }

    // Admission

    /**
     * Takes a request on a route that is known.
     *
     * @param request the request
     * @param route its route
     * @param account the client account that it runs for
     * @param sink writes its answer
     * @return gives the request up when run, as its client has gone
     */
    public Runnable submit(
            ClientRequest request, FleetRoute route, Optional<AccountId> account, ClientSink sink) {
        long nowMs = mNowMs.getAsLong();
        long patienceMs = request.clientTimeoutMs().orElse(DEFAULT_PATIENCE_MS);
        long timeoutMs = route.timeoutMs() > 0 ? route.timeoutMs() : patienceMs;
        ForwardedRequest pending =
                new ForwardedRequest(
                        request,
                        sink,
                        route,
                        route.chooseService(mRandom.nextDouble()),
                        account,
                        nowMs,
                        nowMs + Math.min(patienceMs, timeoutMs));
        mPending.add(pending);
        dispatch(pending);
        return () -> abandon(pending);
    }

    private void abandon(ForwardedRequest pending) {
        if (!pending.isFinished()) {
            finish(pending, "client_gone");
        }
    }

    // Dispatch

    private void dispatch(ForwardedRequest pending) {
        long nowMs = mNowMs.getAsLong();
        Optional<TargetState> target = choose(pending, nowMs);
        if (target.isEmpty()) {
            waitForTarget(pending, nowMs);
            return;
        }
        boolean isFirst = pending.sendCount() == 0;
        Attempt attempt = pending.start(new Attempt(target.get(), nowMs));
        TargetRequest request = targetRequest(pending, nowMs);
        attempt.setCanceller(
                mPort.send(target.get().record(), request, new Answer(pending, attempt)));
        if (isFirst) {
            pending.account().ifPresent(mUsage);
        } else {
            mTelemetry.count("forward_retries_total");
        }
    }

    private static TargetRequest targetRequest(ForwardedRequest pending, long nowMs) {
        ClientRequest request = pending.request();
        return new TargetRequest(
                request.id().value(),
                request.method(),
                request.path(),
                request.host(),
                request.headers(),
                request.body(),
                pending.account(),
                Math.max(1, pending.deadlineMs() - nowMs),
                pending.route().isResumable() ? request.resumeAfter() : OptionalLong.empty());
    }

    private Optional<TargetState> choose(ForwardedRequest pending, long nowMs) {
        if (pending.sendCount() >= MAX_SENDS
                || pending.possibleRunCount() >= pending.route().maxAttempts()) {
            return Optional.empty();
        }
        List<TargetState> all = mTargets.serving(pending.service(), t -> true);
        List<TargetState> untried = new ArrayList<>(all);
        untried.removeIf(t -> pending.triedTargets().contains(t.record().id()));
        return mChooser.choose(untried.isEmpty() ? all : untried, nowMs);
    }

    private void waitForTarget(ForwardedRequest pending, long nowMs) {
        if (pending.hasActiveAttempt()) {
            return;
        }
        long waitedMs = nowMs - pending.arrivedMs();
        boolean isSpent =
                pending.sendCount() >= MAX_SENDS
                        || pending.possibleRunCount() >= pending.route().maxAttempts();
        if (isSpent || waitedMs > WAIT_SHARE * pending.route().sloMs()) {
            refuse(pending);
            return;
        }
        pending.retryAt(nowMs + RETRY_MS);
    }

    private void refuse(ForwardedRequest pending) {
        Failure failure =
                pending.possibleRunCount() > 0
                        ? pending.lastFailure()
                                .filter(f -> !f.isNotRun())
                                .orElse(Failure.of(ErrorKind.TARGET_FAILED, "the targets failed"))
                        : pending.lastFailure()
                                .filter(Failure::isNotRun)
                                .orElse(Failure.of(ErrorKind.NO_TARGET, "no target takes it"));
        pending.sink().fail(failure, failure.isNotRun() ? COME_BACK_MS : 0);
        finish(pending, failure.kind().wireName());
    }

    // Answers

    /** Receives the answer of one attempt. */
    private final class Answer implements TargetListener {
        private final ForwardedRequest mRequest;
        private final Attempt mAttempt;

        Answer(ForwardedRequest request, Attempt attempt) {
            mRequest = request;
            mAttempt = attempt;
        }

        @Override
        public void onHead(ResponseHead head) {
            if (mAttempt.isFinished()) {
                return;
            }
            if (!head.isForThisRequest()) {
                mAttempt.abort();
                failed(mRequest, mAttempt, true, "the answer of another request");
                return;
            }
            mAttempt.head(head);
            if (head.isEventStream() && head.isSuccessWithDigest() && !mRequest.isStreaming()) {
                mRequest.markStreaming();
                mRequest.sink().start(head.status(), head.headers());
            }
        }

        @Override
        public void onData(byte[] data) {
            if (mAttempt.isFinished()) {
                return;
            }
            if (mRequest.isStreaming()) {
                mRequest.sink().data(data);
                return;
            }
            mAttempt.data(data);
        }

        @Override
        public void onEnd() {
            if (mAttempt.finish()) {
                ended(mRequest, mAttempt);
            }
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            if (!mAttempt.isFinished()) {
                failed(mRequest, mAttempt, sent, reason);
            }
        }
    }

    private void ended(ForwardedRequest pending, Attempt attempt) {
        ResponseHead head = attempt.head().orElseThrow();
        long nowMs = mNowMs.getAsLong();
        if (pending.isStreaming()) {
            pending.sink().end();
            finish(pending, "answered");
            return;
        }
        if (head.isNotRun()) {
            notRun(pending, attempt, head, nowMs);
            return;
        }
        if (head.isSuccessWithDigest()) {
            attempt.target().recordSuccess(nowMs);
            attempt.target().recordDuration(nowMs - attempt.startedMs());
            pending.activeBefore(attempt)
                    .forEach(a -> a.target().recordLate(nowMs - a.startedMs(), nowMs));
            pending.sink().respond(head.status(), head.headers(), attempt.body());
            finish(pending, "answered");
            return;
        }
        boolean isFailure = head.status() >= SERVER_ERROR || head.digest().isEmpty();
        if (isFailure) {
            attempt.target().recordError(nowMs);
        }
        if (isFailure && mayRepeat(pending)) {
            failedRun(pending, "the target answered " + head.status());
            return;
        }
        if (head.digest().isEmpty()) {
            failedRun(pending, "the target answered " + head.status() + " without a digest");
            return;
        }
        pending.sink().respond(head.status(), head.headers(), attempt.body());
        finish(pending, "target_answered_" + head.status());
    }

    private void notRun(ForwardedRequest pending, Attempt attempt, ResponseHead head, long nowMs) {
        attempt.target().avoidUntil(nowMs + RETRY_MS);
        pending.recordNotRun();
        pending.recordFailure(
                Failure.of(ErrorKind.OVERLOADED, "a target refused with " + head.status()));
        again(pending, nowMs);
    }

    private void failed(ForwardedRequest pending, Attempt attempt, boolean sent, String reason) {
        attempt.finish();
        long nowMs = mNowMs.getAsLong();
        if (nowMs >= pending.deadlineMs() - RETRY_MS) {
            // The route's time was short for the work, or the target is slow: no proof of a cut.
            attempt.target().recordLate(nowMs - attempt.startedMs(), nowMs);
        } else {
            attempt.target().recordFailure(nowMs);
        }
        Decision.of("attempt_failed")
                .with("request", pending.request().id().value())
                .with("target", attempt.target().record().id().value())
                .with("sent", sent)
                .with("reason", reason)
                .with("after_ms", nowMs - attempt.startedMs())
                .info();
        if (pending.isStreaming()) {
            pending.sink().abort();
            finish(pending, "stream_cut");
            return;
        }
        if (!sent) {
            pending.recordNotRun();
            pending.recordFailure(Failure.of(ErrorKind.NO_TARGET, reason));
            again(pending, nowMs);
            return;
        }
        failedRun(pending, reason);
    }

    private void failedRun(ForwardedRequest pending, String reason) {
        pending.recordFailure(Failure.of(ErrorKind.TARGET_FAILED, reason));
        if (mayRepeat(pending)) {
            again(pending, mNowMs.getAsLong());
            return;
        }
        if (!pending.hasActiveAttempt()) {
            refuse(pending);
        }
    }

    private static boolean mayRepeat(ForwardedRequest pending) {
        return pending.route().isRepeatable()
                && pending.possibleRunCount() < pending.route().maxAttempts();
    }

    private void again(ForwardedRequest pending, long nowMs) {
        if (pending.hasActiveAttempt()) {
            return;
        }
        if (pending.sendCount() <= 1) {
            dispatch(pending);
            return;
        }
        pending.retryAt(nowMs + RETRY_MS);
    }

    // Time

    /** Sends again what is due, hedges what is late, and gives up what has no time left. */
    public void tick() {
        long nowMs = mNowMs.getAsLong();
        for (ForwardedRequest pending : new ArrayList<>(mPending)) {
            if (nowMs >= pending.deadlineMs()) {
                timedOut(pending);
            } else if (!pending.hasActiveAttempt() && nowMs >= pending.nextDispatchMs()) {
                dispatch(pending);
            } else if (isHedgeDue(pending, nowMs)) {
                dispatch(pending);
            }
        }
    }

    private static boolean isHedgeDue(ForwardedRequest pending, long nowMs) {
        FleetRoute route = pending.route();
        return route.kind() == RouteKind.IDEMPOTENT
                && route.sloMs() > 0
                && mayRepeat(pending)
                && nowMs - pending.lastSentMs() > HEDGE_SHARE * route.sloMs();
    }

    private void timedOut(ForwardedRequest pending) {
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
        pending.sink().fail(failure, failure.isNotRun() ? COME_BACK_MS : 0);
        finish(pending, kind.wireName());
    }

    private void finish(ForwardedRequest pending, String outcome) {
        pending.finish();
        mPending.remove(pending);
        long tookMs = mNowMs.getAsLong() - pending.arrivedMs();
        String route = pending.route().name().value();
        mTelemetry.count("forward_requests_total", "route", route, "outcome", outcome);
        mTelemetry.record("forward_ms", "route", route, tookMs);
        Decision.of("request_ended")
                .with("request", pending.request().id().value())
                .with("route", route)
                .with("account", pending.account().map(AccountId::value).orElse(""))
                .with("revision", mDesired.get().map(DesiredState::revision).orElse(Revision.NONE))
                .with("targets", pending.triedTargets().toString())
                .with("sends", pending.sendCount())
                .with("runs", pending.possibleRunCount())
                .with("failure", pending.lastFailure().map(Failure::toString).orElse(""))
                .with("took_ms", tookMs)
                .with("outcome", outcome)
                .info();
    }

    // Accessors

    /**
     * Returns how many requests are in progress.
     *
     * @return requests in progress
     */
    public int size() {
        return mPending.size();
    }
}
