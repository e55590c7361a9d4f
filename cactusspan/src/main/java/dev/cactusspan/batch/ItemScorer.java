package dev.cactusspan.batch;

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
import dev.cactusspan.id.RouteId;
import dev.cactusspan.id.ServiceId;
import dev.cactusspan.result.SendFailure;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Has complete texts scored by the service that their items name. */
final class ItemScorer {
    /**
     * A scoring request without a response within this time is retried at another target, in
     * milliseconds.
     */
    static final long TIMEOUT_MS = 1_500;

    /** Time that a target is avoided after it refused a text, in milliseconds. */
    private static final long REFUSAL_AVOIDANCE_MS = 40;

    /** Pause of a text after a failed attempt, in milliseconds. */
    private static final long FAILURE_DELAY_MS = 20;

    private static final int SERVER_ERROR = 500;

    private final TargetTable mTargets;
    private final TargetPort mPort;
    private final TargetChooser mChooser;
    private final Supplier<Optional<DesiredState>> mDesired;
    private final ResidencyRule mResidency;
    private final LongSupplier mNowMs;

    ItemScorer(
            TargetTable targets,
            TargetPort port,
            TargetChooser chooser,
            Supplier<Optional<DesiredState>> desired,
            LongSupplier nowMs) {
        mTargets = targets;
        mPort = port;
        mChooser = chooser;
        mDesired = desired;
        mResidency = new ResidencyRule(desired);
        mNowMs = nowMs;
    }

    /** Returns the service that scores an item, empty while there is no route to it. */
    Optional<ServiceId> service(ItemRun run) {
        return route(run).map(route -> route.chooseService(0));
    }

    private Optional<FleetRoute> route(ItemRun run) {
        BatchItem.Scorer scorer = run.item().scorer().orElseThrow();
        return mDesired.get().flatMap(d -> d.route(scorer.host(), scorer.path()));
    }

    /** Sends the complete text of an item to a scorer, or returns false if none has a place. */
    boolean score(OwnedBatch owned, ItemRun run, long nowMs) {
        BatchItem.Scorer scorer = run.item().scorer().orElseThrow();
        Optional<FleetRoute> route = route(run);
        if (route.isEmpty()) {
            return false;
        }
        List<TargetState> candidates =
                mTargets.candidates(
                        route.get().chooseService(0),
                        mResidency.of(route.get(), Optional.of(owned.batch().account())),
                        nowMs,
                        t -> t.hasPlace() && !t.isAvoided(nowMs) && run.allows(t, nowMs));
        Optional<TargetState> target = mChooser.choose(candidates, nowMs);
        if (target.isEmpty()) {
            return false;
        }
        int attempt = run.startAttempt(target.get(), nowMs);
        TargetRequest request =
                new TargetRequest(
                        scorer.id(),
                        "POST",
                        scorer.path(),
                        scorer.host(),
                        Map.of(),
                        scorer.body(),
                        Optional.empty(),
                        TIMEOUT_MS,
                        OptionalLong.empty(),
                        OptionalInt.empty());
        int attempts = Math.max(owned.batch().maxAttempts(), route.get().maxAttempts());
        run.setCancelAction(
                mPort.send(
                        target.get().record(),
                        request,
                        new ScoreListener(owned, run, attempt, attempts, route.get().name())));
        return true;
    }

    /** Receives the response to a scoring request. */
    private final class ScoreListener implements TargetListener {
        private final OwnedBatch mOwned;
        private final ItemRun mRun;
        private final int mAttempt;
        private final int mMaxAttempts;
        private final RouteId mRoute;
        private final long mStartedMs = mNowMs.getAsLong();
        private Optional<ResponseHead> mHead = Optional.empty();

        ScoreListener(OwnedBatch owned, ItemRun run, int attempt, int maxAttempts, RouteId route) {
            mOwned = owned;
            mRun = run;
            mAttempt = attempt;
            mMaxAttempts = maxAttempts;
            mRoute = route;
        }

        @Override
        public void onHead(ResponseHead head) {
            mHead = Optional.of(head);
        }

        @Override
        public void onData(byte[] data, Runnable consumed) {
            // The body is ignored: the score is the digest in the response head.
            consumed.run();
        }

        @Override
        public void onEnd() {
            if (!mRun.isCurrentAttempt(mAttempt)) {
                return;
            }
            long nowMs = mNowMs.getAsLong();
            ResponseHead head = mHead.orElseThrow();
            TargetState target = mRun.target().orElseThrow();
            if (!head.isForThisRequest()) {
                mRun.cancelAttempt();
                mRun.retryAt(nowMs + FAILURE_DELAY_MS);
                return;
            }
            boolean isFailedAttempt = head.status() == SERVER_ERROR && !head.isNotRun();
            boolean isExhausted = isFailedAttempt && mRun.recordScoreFailure(nowMs) >= mMaxAttempts;
            mRun.endAttempt();
            if (head.isSuccessWithDigest()) {
                target.recordSuccess(nowMs);
                target.recordRequest(mRoute, nowMs - mStartedMs, nowMs);
                mRun.apply(ItemEvent.SCORED);
                mOwned.finish(mRun, mRun.result(head.digest()), nowMs);
                return;
            }
            if (isFailedAttempt) {
                target.recordError(nowMs);
            }
            if (isExhausted) {
                mOwned.abandon(mRun, "scoring failed at each run", nowMs);
                return;
            }
            target.avoidUntil(nowMs + REFUSAL_AVOIDANCE_MS);
            mRun.retryAt(head.isNotRun() ? nowMs : nowMs + FAILURE_DELAY_MS);
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            if (!mRun.isCurrentAttempt(mAttempt)) {
                return;
            }
            long nowMs = mNowMs.getAsLong();
            mRun.target().ifPresent(t -> t.recordFailure(nowMs));
            mRun.endAttempt();
            mRun.retryAt(nowMs + FAILURE_DELAY_MS);
        }
    }
}
