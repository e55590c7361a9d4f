package dev.cactusspan.batch;

import dev.cactusspan.fleet.ResidencyRule;
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
import dev.cactusspan.region.Residency;
import dev.cactusspan.result.SendFailure;
import dev.cactusspan.waiting.Ranks;
import dev.cactusspan.waiting.ServiceLines;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Runs items at targets: generates the text, resumes it at another target after an interruption,
 * and has the complete text scored.
 */
final class ItemRunner {

    /** Time that a target is avoided after an unsuitable response, in milliseconds. */
    private static final long FAILURE_AVOIDANCE_MS = 40;

    /** Pause of an item after a failed attempt, in milliseconds. */
    private static final long FAILURE_DELAY_MS = 20;

    /**
     * An attempt without a first event within this time is moved to another target, in
     * milliseconds.
     */
    private static final long FIRST_EVENT_TIMEOUT_MS = 1_500;

    /**
     * An attempt without a further event for this time is moved to another target, in milliseconds.
     * It is several times the interval between the events of a slow target.
     */
    private static final long STALL_TIMEOUT_MS = 900;

    /** Number of events over which the event interval of an attempt is measured. */
    private static final int INTERVAL_EVENTS = 4;

    /** Maximum length of a text; the store keeps values of up to 1 MB. */
    private static final int MAX_TEXT_CHARS = 512 << 10;

    /** Maximum number of events of a text; each has a token at least, and takes memory if empty. */
    private static final int MAX_TEXT_EVENTS = 32 << 10;

    private static final int SERVER_ERROR = 500;
    private static final int UNPROCESSABLE = 422;

    private final TargetTable mTargets;
    private final TargetPort mPort;
    private final TargetChooser mChooser;
    private final ItemScorer mScorer;
    private final ResidencyRule mResidency;
    private final RunMover mMover;
    private final ItemLine mLine;
    private final Telemetry mTelemetry;
    private final LongSupplier mNowMs;

    ItemRunner(
            TargetTable targets,
            TargetPort port,
            TargetChooser chooser,
            ItemScorer scorer,
            ResidencyRule residency,
            ServiceLines lines,
            Ranks ranks,
            Telemetry telemetry,
            LongSupplier nowMs) {
        mTargets = targets;
        mPort = port;
        mChooser = chooser;
        mScorer = scorer;
        mResidency = residency;
        mMover = new RunMover(targets, chooser, residency, lines, nowMs);
        mLine = new ItemLine(lines, ranks, scorer, this::place);
        mTelemetry = telemetry;
        mNowMs = nowMs;
    }

    // Dispatch

    /** Advances each item of a batch as far as possible. */
    void tick(OwnedBatch owned) {
        long nowMs = mNowMs.getAsLong();
        if (owned.remainingMs(nowMs) <= 0) {
            List.copyOf(owned.runs()).forEach(run -> owned.abandon(run, "retention", nowMs));
            return;
        }
        for (ItemRun run : owned.runs()) {
            if (run.target().isPresent()) {
                checkProgress(run, nowMs);
            } else if (!run.isInLine() && nowMs >= run.nextAttemptMs()) {
                mLine.enter(owned, run);
            }
        }
    }

    /** Returns the line in which items wait for a place. */
    ItemLine line() {
        return mLine;
    }

    private boolean place(OwnedBatch owned, ItemRun run) {
        long nowMs = mNowMs.getAsLong();
        return run.state() == ItemState.SCORING
                ? mScorer.score(owned, run, nowMs)
                : generate(owned, run, nowMs);
    }

    private void checkProgress(ItemRun run, long nowMs) {
        long idleMs = nowMs - run.lastProgressMs();
        boolean isScoring = run.state() == ItemState.SCORING;
        long timeoutMs =
                isScoring
                        ? ItemScorer.TIMEOUT_MS
                        : run.eventCount() == 0 ? FIRST_EVENT_TIMEOUT_MS : STALL_TIMEOUT_MS;
        if (idleMs < timeoutMs) {
            return;
        }
        run.target().ifPresent(t -> t.recordFailure(nowMs));
        run.cancelAttempt();
        interrupt(run, isScoring ? "no score" : "no event for " + idleMs + " ms", nowMs);
    }

    private void interrupt(ItemRun run, String reason, long nowMs) {
        run.apply(ItemEvent.INTERRUPT);
        run.retryAt(nowMs + FAILURE_DELAY_MS);
        mTelemetry.count("item_interrupts_total");
        Decision.of("item_interrupted")
                .with("request", run.item().id().value())
                .with("target", run.latestTarget())
                .with("software", run.latestSoftware().value())
                .with("events", run.eventCount())
                .with("reason", reason)
                .info();
    }

    // Generation

    private void moveIfSlow(OwnedBatch owned, ItemRun run) {
        mMover.consider(
                owned,
                run,
                () -> mLine.order(owned, run),
                () -> filter(owned.batch(), run, mNowMs.getAsLong()).and(run::mayContinueAt),
                target -> move(owned, run, target));
    }

    private void move(OwnedBatch owned, ItemRun run, TargetState target) {
        long nowMs = mNowMs.getAsLong();
        run.target().ifPresent(t -> t.recordSlow(run.eventIntervalMs()));
        run.cancelAttempt();
        interrupt(run, "the target is slow", nowMs);
        run.recordMove();
        send(owned, run, target, nowMs);
    }

    private static Predicate<TargetState> filter(Batch batch, ItemRun run, long nowMs) {
        return t ->
                t.hasPlace()
                        && !t.isAvoided(nowMs)
                        && run.allows(t, nowMs)
                        && isFresh(batch, t.record().version(batch.model()));
    }

    private boolean generate(OwnedBatch owned, ItemRun run, long nowMs) {
        Batch batch = owned.batch();
        if (!run.meetsMinVersion(batch.minVersion())) {
            run.discardText();
        }
        Predicate<TargetState> filter = filter(batch, run, nowMs);
        List<TargetState> candidates =
                mTargets.candidates(
                        batch.service(), residency(batch), nowMs, filter.and(run::mayContinueAt));
        if (candidates.isEmpty() && run.eventCount() > 0) {
            candidates = candidatesForRestart(batch, run, filter, nowMs);
        }
        Optional<TargetState> target = mChooser.choose(candidates, nowMs);
        target.ifPresent(t -> send(owned, run, t, nowMs));
        return target.isPresent();
    }

    /** Discards a text that no target of its software version can take, if any other can. */
    private List<TargetState> candidatesForRestart(
            Batch batch, ItemRun run, Predicate<TargetState> filter, long nowMs) {
        boolean isServing =
                mTargets.isServing(batch.service(), residency(batch), run::mayContinueAt);
        long waitedMs = nowMs - run.waitForSoftware(nowMs);
        if (!ResumeRule.shouldRestart(isServing, run.eventCount(), waitedMs)) {
            return List.of();
        }
        List<TargetState> candidates =
                mTargets.candidates(batch.service(), residency(batch), nowMs, filter);
        if (!candidates.isEmpty()) {
            Decision.of("text_restarted")
                    .with("request", run.item().id().value())
                    .with("software", run.software().value())
                    .with("is_serving", isServing)
                    .with("events", run.eventCount())
                    .with("waited_ms", waitedMs)
                    .info();
            mTelemetry.count("text_restarts_total");
            run.discardText();
        }
        return candidates;
    }

    private void send(OwnedBatch owned, ItemRun run, TargetState target, long nowMs) {
        Batch batch = owned.batch();
        run.apply(ItemEvent.DISPATCH);
        int attempt = run.startAttempt(target, nowMs);
        TargetRequest request =
                new TargetRequest(
                        run.item().id().value(),
                        "POST",
                        run.item().path(),
                        batch.host(),
                        run.item().headers(),
                        run.item().body(),
                        Optional.of(batch.account()),
                        Math.max(1, owned.remainingMs(nowMs)),
                        run.lastEvent(),
                        mLine.urgency(batch, run));
        Decision.of("item_sent")
                .with("request", run.item().id().value())
                .with("target", run.latestTarget())
                .with("software", run.latestSoftware().value())
                .with("after_event", run.lastEvent().orElse(0))
                .info();
        run.setCancelAction(
                mPort.send(target.record(), request, new TextListener(owned, run, attempt, nowMs)));
    }

    /** Returns the regions in which the items of a batch may run now. */
    private Residency residency(Batch batch) {
        return mResidency.of(batch.route(), batch.account(), batch.residency());
    }

    private static boolean isFresh(Batch batch, WeightVersion version) {
        return !batch.minVersion().isAfter(version);
    }

    /** Receives the text of one attempt. */
    private final class TextListener implements TargetListener {
        private final OwnedBatch mOwned;
        private final ItemRun mRun;
        private final int mAttempt;
        private final TargetPort.EventDecoder mDecoder = mPort.newDecoder();
        private long mIntervalStartMs;
        private int mIntervalEvents;
        private boolean mIsEndExpected;

        TextListener(OwnedBatch owned, ItemRun run, int attempt, long nowMs) {
            mOwned = owned;
            mRun = run;
            mAttempt = attempt;
            mIntervalStartMs = nowMs;
        }

        /** Measures the event interval over several events, as events may arrive in bursts. */
        private void measureInterval(long nowMs) {
            mIntervalEvents++;
            if (mIntervalEvents == 1) {
                mIntervalStartMs = nowMs;
            } else if (mIntervalEvents > INTERVAL_EVENTS) {
                long eventIntervalMs = (nowMs - mIntervalStartMs) / INTERVAL_EVENTS;
                mRun.setEventIntervalMs(eventIntervalMs);
                mRun.target()
                        .ifPresent(
                                t ->
                                        t.recordInterval(
                                                mOwned.batch().route(), eventIntervalMs, nowMs));
                moveIfSlow(mOwned, mRun);
                mIntervalStartMs = nowMs;
                mIntervalEvents = 1;
            }
        }

        @Override
        public void onHead(ResponseHead head) {
            if (mRun.isCurrentAttempt(mAttempt)) {
                mIsEndExpected = TextHead.isText(head) && TextHead.isEnd(mRun, head);
                onResponseHead(mOwned, mRun, head);
            }
        }

        @Override
        public void onData(byte[] data, Runnable consumed) {
            consumed.run();
            if (!mRun.isCurrentAttempt(mAttempt)) {
                return;
            }
            long nowMs = mNowMs.getAsLong();
            List<TextEvent> events = mDecoder.feed(data);
            if (mDecoder.isOverLimit()) {
                rejectText("an event is too large", nowMs);
                return;
            }
            for (TextEvent event : events) {
                if (mIsEndExpected && event.version().equals(WeightVersion.NONE)) {
                    rejectText("no weights are named for event " + event.id(), nowMs);
                    return;
                }
                measureInterval(nowMs);
                if (!mRun.append(event, nowMs)) {
                    mRun.cancelAttempt();
                    interrupt(mRun, "event " + event.id() + " does not follow", nowMs);
                    return;
                }
                if (isTooLarge(mRun)) {
                    rejectText("the text is too large", nowMs);
                    mRun.discardText();
                    return;
                }
                if (mOwned.batch().isSingleVersion() && mRun.versions().size() > 1) {
                    mRun.cancelAttempt();
                    mRun.discardText();
                    interrupt(mRun, "weights changed to " + event.version(), nowMs);
                    return;
                }
                if (!mRun.meetsMinVersion(mOwned.batch().minVersion())) {
                    mRun.cancelAttempt();
                    mRun.discardText();
                    interrupt(mRun, "weights went back to " + event.version(), nowMs);
                    return;
                }
            }
        }

        private static boolean isTooLarge(ItemRun run) {
            return run.textChars() > MAX_TEXT_CHARS || run.eventCount() > MAX_TEXT_EVENTS;
        }

        /** Gives up what the target sends, which is no text. */
        private void rejectText(String reason, long nowMs) {
            mRun.target().ifPresent(t -> t.recordFailure(nowMs));
            mRun.cancelAttempt();
            interrupt(mRun, reason, nowMs);
        }

        @Override
        public void onEnd() {
            if (!mRun.isCurrentAttempt(mAttempt)) {
                return;
            }
            long nowMs = mNowMs.getAsLong();
            if (mDecoder.isInsideEvent() || mRun.eventCount() == 0) {
                mRun.target().ifPresent(t -> t.recordError(nowMs));
                mRun.endAttempt();
                interrupt(mRun, "the stream ended early", nowMs);
                return;
            }
            mRun.target().ifPresent(t -> t.recordSuccess(nowMs));
            mRun.endAttempt();
            onTextComplete(mOwned, mRun);
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            if (!mRun.isCurrentAttempt(mAttempt)) {
                return;
            }
            long nowMs = mNowMs.getAsLong();
            mRun.target().ifPresent(t -> t.recordFailure(nowMs));
            mRun.endAttempt();
            interrupt(mRun, reason, nowMs);
        }
    }

    private void onResponseHead(OwnedBatch owned, ItemRun run, ResponseHead head) {
        long nowMs = mNowMs.getAsLong();
        if (TextHead.isText(head)) {
            if (TextHead.isEnd(run, head)) {
                return;
            }
            if (!isFresh(owned.batch(), head.version())) {
                run.target().ifPresent(t -> t.avoidUntil(nowMs + FAILURE_AVOIDANCE_MS));
                run.cancelAttempt();
                interrupt(run, "weights are at version " + head.version(), nowMs);
                return;
            }
            run.setVersion(head.version());
            return;
        }
        run.target().ifPresent(t -> avoid(t, head, nowMs));
        boolean isFailedAttempt =
                head.status() == SERVER_ERROR && !head.isNotRun() && head.isForThisRequest();
        boolean isExhausted = false;
        if (head.isSuccess()) {
            run.target().ifPresent(t -> t.recordError(nowMs));
        }
        if (isFailedAttempt) {
            run.target().ifPresent(t -> t.recordError(nowMs));
            isExhausted = run.recordFailure(nowMs) >= owned.batch().maxAttempts();
        }
        if (head.isForThisRequest()) {
            run.endAttempt();
        } else {
            run.cancelAttempt();
        }
        if (head.status() == UNPROCESSABLE && head.isForThisRequest()) {
            owned.abandon(run, "the target answered 422", nowMs);
        } else if (isExhausted) {
            owned.abandon(run, "failed at each run", nowMs);
        } else {
            interrupt(run, "the target answered " + head.status(), nowMs);
            if (head.isNotRun()) {
                run.retryAt(nowMs);
                mLine.enter(owned, run);
            }
        }
    }

    private static void avoid(TargetState target, ResponseHead head, long nowMs) {
        if (head.isNotRun()) {
            target.recordRefusal(nowMs);
        } else {
            target.avoidUntil(nowMs + FAILURE_AVOIDANCE_MS);
        }
    }

    private void onTextComplete(OwnedBatch owned, ItemRun run) {
        long nowMs = mNowMs.getAsLong();
        Decision.of("text_whole")
                .with("request", run.item().id().value())
                .with("batch", owned.batch().id().value())
                .with("events", run.eventCount())
                .with("expected_tokens", run.item().expectedTokens())
                .with("target", run.latestTarget())
                .with("software", run.latestSoftware().value())
                .with("sends", run.sendCount())
                .with("versions", run.versions())
                .info();
        if (run.item().scorer().isEmpty()) {
            run.apply(ItemEvent.NO_SCORE);
            owned.finish(run, run.result(""), nowMs);
            return;
        }
        run.apply(ItemEvent.TEXT_WHOLE);
        mLine.enter(owned, run);
    }
}
