package dev.cactusspan.batch;

import dev.cactusspan.fleet.DesiredState;
import dev.cactusspan.fleet.FleetRoute;
import dev.cactusspan.fleet.ResponseHead;
import dev.cactusspan.fleet.TargetChooser;
import dev.cactusspan.fleet.TargetListener;
import dev.cactusspan.fleet.TargetPort;
import dev.cactusspan.fleet.TargetRequest;
import dev.cactusspan.fleet.TargetState;
import dev.cactusspan.fleet.TargetTable;
import dev.cactusspan.fleet.TextEvent;
import dev.cactusspan.id.WeightVersion;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.observe.Telemetry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Runs items at targets: generates the text, goes on elsewhere after a break, and has the whole
 * text scored.
 */
final class ItemRunner {

    /** Pause after a refusal, in milliseconds. */
    private static final long REFUSED_MS = 40;

    /** Pause after a failed run, in milliseconds. */
    private static final long FAILED_MS = 20;

    /** A run whose first event does not come within this time is moved, in milliseconds. */
    private static final long FIRST_EVENT_MS = 1_500;

    /** A run without an event for this time is moved: several times a slow target's gap. */
    private static final long STALL_MS = 900;

    /** A scoring call without an answer for this time is repeated elsewhere, in milliseconds. */
    private static final long SCORE_TIMEOUT_MS = 1_500;

    /** A run is moved to a target whose events come this much faster: it reads its text again. */
    private static final double SLOW_RATIO = 1.8;

    /** Events over which the pace of a run is measured. */
    private static final int PACE_EVENTS = 4;

    /** Moves of one run at most, so that it does not go back and forth. */
    private static final int MAX_MOVES = 3;

    private static final int SERVER_ERROR = 500;
    private static final int UNPROCESSABLE = 422;
    private static final int SUCCESS = 200;

    private final TargetTable mTargets;
    private final TargetPort mPort;
    private final TargetChooser mChooser;
    private final Supplier<Optional<DesiredState>> mDesired;
    private final Telemetry mTelemetry;
    private final LongSupplier mNowMs;
    private final LongSupplier mWallMs;

    ItemRunner(
            TargetTable targets,
            TargetPort port,
            TargetChooser chooser,
            Supplier<Optional<DesiredState>> desired,
            Telemetry telemetry,
            LongSupplier nowMs,
            LongSupplier wallMs) {
        mTargets = targets;
        mPort = port;
        mChooser = chooser;
        mDesired = desired;
        mTelemetry = telemetry;
        mNowMs = nowMs;
        mWallMs = wallMs;
    }

    // Dispatch

    /** Moves each item of a batch on as far as it can go now. */
    void tick(OwnedBatch owned) {
        long nowMs = mNowMs.getAsLong();
        boolean isExpired =
                mWallMs.getAsLong() > owned.batch().submittedWallMs() + owned.batch().retentionMs();
        for (ItemRun run : List.copyOf(owned.runs())) {
            if (isExpired) {
                giveUp(owned, run, "retention");
            } else if (run.target().isPresent()) {
                checkProgress(owned, run, nowMs);
            } else if (nowMs >= run.nextMs()) {
                advance(owned, run, nowMs);
            }
        }
    }

    private void advance(OwnedBatch owned, ItemRun run, long nowMs) {
        if (run.state() == ItemState.SCORING) {
            score(owned, run, nowMs);
            return;
        }
        generate(owned, run, nowMs);
    }

    private void checkProgress(OwnedBatch owned, ItemRun run, long nowMs) {
        long silentMs = nowMs - run.progressMs();
        boolean isScoring = run.state() == ItemState.SCORING;
        long boundMs = isScoring ? SCORE_TIMEOUT_MS : run.events() == 0 ? FIRST_EVENT_MS : STALL_MS;
        if (silentMs < boundMs) {
            if (!isScoring && isHeldBack(owned, run, nowMs)) {
                run.breakOff();
                interrupted(run, "the target is slow", nowMs);
                run.moved();
                generate(owned, run, nowMs);
            }
            return;
        }
        run.target().ifPresent(t -> t.recordFailure(nowMs));
        run.breakOff();
        interrupted(run, isScoring ? "no score" : "no event for " + silentMs + " ms", nowMs);
    }

    private void interrupted(ItemRun run, String reason, long nowMs) {
        run.apply(ItemEvent.INTERRUPT);
        run.retryAt(nowMs + FAILED_MS);
        mTelemetry.count("item_interrupts_total");
        Decision.of("item_interrupted")
                .with("request", run.item().id().value())
                .with("events", run.events())
                .with("reason", reason)
                .info();
    }

    private void giveUp(OwnedBatch owned, ItemRun run, String reason) {
        run.apply(ItemEvent.GIVE_UP);
        run.breakOff();
        Decision.of("item_given_up")
                .with("request", run.item().id().value())
                .with("batch", owned.batch().id().value())
                .with("reason", reason)
                .info();
        owned.finish(run, ItemResult.dead(run.item().id()), mNowMs.getAsLong());
    }

    // Generation

    /** Tells whether a target with room goes on much faster than the one that has the run. */
    private boolean isHeldBack(OwnedBatch owned, ItemRun run, long nowMs) {
        long paceMs = run.paceMs();
        return paceMs > 0
                && run.moves() < MAX_MOVES
                && candidates(owned.batch(), nowMs).stream()
                        .anyMatch(
                                t ->
                                        t.meanDurationMs() > 0
                                                && t.meanDurationMs() * SLOW_RATIO < paceMs);
    }

    private List<TargetState> candidates(Batch batch, long nowMs) {
        return mTargets.serving(
                batch.service(),
                t ->
                        t.inFlight() < t.record().slots()
                                && !t.isAvoided(nowMs)
                                && isFresh(batch, t.record().version(batch.model())));
    }

    private void generate(OwnedBatch owned, ItemRun run, long nowMs) {
        Batch batch = owned.batch();
        if (!run.isWithin(batch.minVersion())) {
            run.restart();
        }
        List<TargetState> candidates = candidates(batch, nowMs);
        Optional<TargetState> target = mChooser.choose(candidates, nowMs);
        if (target.isEmpty()) {
            return;
        }
        run.apply(ItemEvent.DISPATCH);
        int number = run.begin(target.get(), nowMs);
        TargetRequest request =
                new TargetRequest(
                        run.item().id().value(),
                        "POST",
                        run.item().path(),
                        batch.host(),
                        run.item().headers(),
                        run.item().body(),
                        Optional.of(batch.account()),
                        leftMs(batch),
                        run.lastEvent());
        run.breakOffWith(
                mPort.send(target.get().record(), request, new Text(owned, run, number, nowMs)));
    }

    private static boolean isFresh(Batch batch, WeightVersion version) {
        return !batch.minVersion().isAfter(version);
    }

    private long leftMs(Batch batch) {
        return Math.max(1, batch.submittedWallMs() + batch.retentionMs() - mWallMs.getAsLong());
    }

    /** Receives the text of one run. */
    private final class Text implements TargetListener {
        private final OwnedBatch mOwned;
        private final ItemRun mRun;
        private final int mNumber;
        private final TargetPort.EventDecoder mDecoder = mPort.newDecoder();
        private long mPaceFromMs;
        private int mPaceEvents;

        Text(OwnedBatch owned, ItemRun run, int number, long nowMs) {
            mOwned = owned;
            mRun = run;
            mNumber = number;
            mPaceFromMs = nowMs;
        }

        /** Events may come in bursts, so that only several of them tell the pace. */
        private void pace(long nowMs) {
            mPaceEvents++;
            if (mPaceEvents == 1) {
                mPaceFromMs = nowMs;
            } else if (mPaceEvents > PACE_EVENTS) {
                long paceMs = (nowMs - mPaceFromMs) / PACE_EVENTS;
                mRun.paced(paceMs);
                mRun.target().ifPresent(t -> t.recordDuration(paceMs));
                mPaceFromMs = nowMs;
                mPaceEvents = 1;
            }
        }

        @Override
        public void onHead(ResponseHead head) {
            if (mRun.isRun(mNumber)) {
                began(mOwned, mRun, head);
            }
        }

        @Override
        public void onData(byte[] data) {
            if (!mRun.isRun(mNumber)) {
                return;
            }
            long nowMs = mNowMs.getAsLong();
            for (TextEvent event : mDecoder.feed(data)) {
                pace(nowMs);
                if (!mRun.take(event, nowMs)) {
                    mRun.breakOff();
                    interrupted(mRun, "event " + event.id() + " does not follow", nowMs);
                    return;
                }
                if (!mRun.isWithin(mOwned.batch().minVersion())) {
                    mRun.breakOff();
                    mRun.restart();
                    interrupted(mRun, "weights went back to " + event.version(), nowMs);
                    return;
                }
            }
        }

        @Override
        public void onEnd() {
            if (!mRun.isRun(mNumber)) {
                return;
            }
            long nowMs = mNowMs.getAsLong();
            if (mDecoder.isInsideEvent() || mRun.events() == 0) {
                mRun.target().ifPresent(t -> t.recordError(nowMs));
                mRun.release();
                interrupted(mRun, "the stream ended early", nowMs);
                return;
            }
            mRun.target().ifPresent(t -> t.recordSuccess(nowMs));
            mRun.release();
            textWhole(mOwned, mRun);
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            if (!mRun.isRun(mNumber)) {
                return;
            }
            long nowMs = mNowMs.getAsLong();
            mRun.target().ifPresent(t -> t.recordFailure(nowMs));
            mRun.release();
            interrupted(mRun, reason, nowMs);
        }
    }

    private void began(OwnedBatch owned, ItemRun run, ResponseHead head) {
        long nowMs = mNowMs.getAsLong();
        if (head.status() == SUCCESS && head.isForThisRequest()) {
            if (!isFresh(owned.batch(), head.version())) {
                run.target().ifPresent(t -> t.avoidUntil(nowMs + REFUSED_MS));
                run.breakOff();
                interrupted(run, "weights are at version " + head.version(), nowMs);
                return;
            }
            run.startsWith(head.version());
            return;
        }
        run.target().ifPresent(t -> t.avoidUntil(nowMs + REFUSED_MS));
        boolean isFailedRun = head.status() == SERVER_ERROR && !head.isNotRun();
        if (isFailedRun) {
            run.target().ifPresent(t -> t.recordError(nowMs));
        }
        if (head.isForThisRequest()) {
            run.release();
        } else {
            run.breakOff();
        }
        if (head.status() == UNPROCESSABLE && head.isForThisRequest()) {
            giveUp(owned, run, "the target answered 422");
        } else if (isFailedRun && run.failed() >= owned.batch().maxAttempts()) {
            giveUp(owned, run, "failed at each run");
        } else {
            interrupted(run, "the target answered " + head.status(), nowMs);
        }
    }

    private void textWhole(OwnedBatch owned, ItemRun run) {
        long nowMs = mNowMs.getAsLong();
        Decision.of("text_whole")
                .with("request", run.item().id().value())
                .with("batch", owned.batch().id().value())
                .with("events", run.events())
                .with("expected_tokens", run.item().expectedTokens())
                .with("sends", run.sends())
                .with("versions", run.versions())
                .info();
        if (run.item().scorer().isEmpty()) {
            run.apply(ItemEvent.NO_SCORE);
            owned.finish(run, run.result(""), nowMs);
            return;
        }
        run.apply(ItemEvent.TEXT_WHOLE);
        score(owned, run, nowMs);
    }

    // Scores

    private void score(OwnedBatch owned, ItemRun run, long nowMs) {
        BatchItem.Scorer scorer = run.item().scorer().orElseThrow();
        Optional<FleetRoute> route =
                mDesired.get().flatMap(d -> d.route(scorer.host(), scorer.path()));
        if (route.isEmpty()) {
            run.retryAt(nowMs + REFUSED_MS);
            return;
        }
        List<TargetState> candidates =
                mTargets.serving(
                        route.get().chooseService(0),
                        t -> t.inFlight() < t.record().slots() && !t.isAvoided(nowMs));
        Optional<TargetState> target = mChooser.choose(candidates, nowMs);
        if (target.isEmpty()) {
            run.retryAt(nowMs + REFUSED_MS);
            return;
        }
        int number = run.begin(target.get(), nowMs);
        TargetRequest request =
                new TargetRequest(
                        scorer.id(),
                        "POST",
                        scorer.path(),
                        scorer.host(),
                        Map.of(),
                        scorer.body(),
                        Optional.empty(),
                        SCORE_TIMEOUT_MS,
                        OptionalLong.empty());
        int attempts = Math.max(owned.batch().maxAttempts(), route.get().maxAttempts());
        run.breakOffWith(
                mPort.send(
                        target.get().record(), request, new Score(owned, run, number, attempts)));
    }

    /** Receives the answer to a scoring call. */
    private final class Score implements TargetListener {
        private final OwnedBatch mOwned;
        private final ItemRun mRun;
        private final int mNumber;
        private final int mMaxAttempts;
        private final long mStartedMs = mNowMs.getAsLong();
        private Optional<ResponseHead> mHead = Optional.empty();

        Score(OwnedBatch owned, ItemRun run, int number, int maxAttempts) {
            mOwned = owned;
            mRun = run;
            mNumber = number;
            mMaxAttempts = maxAttempts;
        }

        @Override
        public void onHead(ResponseHead head) {
            mHead = Optional.of(head);
        }

        @Override
        public void onData(byte[] data) {
            // Only the digest counts.
        }

        @Override
        public void onEnd() {
            if (!mRun.isRun(mNumber)) {
                return;
            }
            long nowMs = mNowMs.getAsLong();
            ResponseHead head = mHead.orElseThrow();
            TargetState target = mRun.target().orElseThrow();
            if (!head.isForThisRequest()) {
                mRun.breakOff();
                mRun.retryAt(nowMs + FAILED_MS);
                return;
            }
            mRun.release();
            if (head.isSuccessWithDigest()) {
                target.recordSuccess(nowMs);
                target.recordDuration(nowMs - mStartedMs);
                mRun.apply(ItemEvent.SCORED);
                mOwned.finish(mRun, mRun.result(head.digest()), nowMs);
                return;
            }
            boolean isFailedRun = head.status() == SERVER_ERROR && !head.isNotRun();
            if (isFailedRun) {
                target.recordError(nowMs);
            }
            if (isFailedRun && mRun.scoreFailed() >= mMaxAttempts) {
                giveUp(mOwned, mRun, "scoring failed at each run");
                return;
            }
            target.avoidUntil(nowMs + REFUSED_MS);
            mRun.retryAt(nowMs + FAILED_MS);
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            if (!mRun.isRun(mNumber)) {
                return;
            }
            long nowMs = mNowMs.getAsLong();
            mRun.target().ifPresent(t -> t.recordFailure(nowMs));
            mRun.release();
            mRun.retryAt(nowMs + FAILED_MS);
        }
    }
}
