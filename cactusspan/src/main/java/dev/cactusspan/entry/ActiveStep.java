package dev.cactusspan.entry;

import dev.cactusspan.config.EnvironmentDocument;
import dev.cactusspan.config.KeyHash;
import dev.cactusspan.sample.DeliveryPlan;
import dev.cactusspan.sample.HedgePolicy;
import dev.cactusspan.sample.StepScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A trainer's step that is owned and run by this entry. */
final class ActiveStep {
    private static final double LATE_FACTOR = 3.0;
    private static final double MAX_HEDGED_SHARE = 0.05;

    private final StepScheduler mScheduler;
    private final EnvironmentDocument.Trainer mTrainer;
    private final Map<Integer, SlotRun> mRuns = new HashMap<>();
    private final HedgePolicy mHedges = new HedgePolicy(LATE_FACTOR, MAX_HEDGED_SHARE);
    private KeyHash mKeyHash;
    private long mVersion;
    private Optional<DeliveryPoll> mPoll = Optional.empty();
    private Optional<DeliveryPlan.Write> mProposedWrite = Optional.empty();
    private boolean mIsWriting;
    private long mNextWriteMs;
    private long mNextRunMs;

    /**
     * Creates a step that this entry owns.
     *
     * @param scheduler scheduler of its slots and deliveries
     * @param trainer the trainer as declared in the environment document
     * @param keyHash hash of the key that it was submitted under
     * @param version version of the ledger in the key-value service
     */
    ActiveStep(
            StepScheduler scheduler,
            EnvironmentDocument.Trainer trainer,
            KeyHash keyHash,
            long version) {
        mScheduler = scheduler;
        mTrainer = trainer;
        mKeyHash = keyHash;
        mVersion = version;
    }

    // Operations

    /** Replaces the waiting poll and returns the previous one; a trainer has one at a time. */
    Optional<DeliveryPoll> replacePoll(DeliveryPoll poll) {
        Optional<DeliveryPoll> previous = mPoll;
        mPoll = Optional.of(poll);
        return previous;
    }

    Optional<DeliveryPoll> takePoll() {
        Optional<DeliveryPoll> poll = mPoll;
        mPoll = Optional.empty();
        return poll;
    }

    void proposeWrite(DeliveryPlan.Write plan) {
        mProposedWrite = Optional.of(plan);
    }

    /** Marks the proposed ledger as written and returns the body of its delivery, if any. */
    Optional<byte[]> confirmWrite(long version) {
        mVersion = version;
        DeliveryPlan.Write plan = mProposedWrite.orElseThrow();
        mProposedWrite = Optional.empty();
        return mScheduler.onLedgerWritten(plan);
    }

    void setWriting(boolean isWriting, long nextWriteMs) {
        mIsWriting = isWriting;
        mNextWriteMs = nextWriteMs;
    }

    void setNextRunMs(long nextRunMs) {
        mNextRunMs = nextRunMs;
    }

    /** Replaces the key hash after the same step was submitted again under another key. */
    void updateKeyHash(KeyHash keyHash) {
        mKeyHash = keyHash;
    }

    /** Records the start of a copy of a slot. */
    void recordStart(int slot, long nowMs) {
        mRuns.computeIfAbsent(slot, i -> new SlotRun(nowMs)).mCopies++;
    }

    /** Records the end of a copy of a slot and returns whether another copy still runs. */
    boolean recordEnd(int slot) {
        SlotRun run = mRuns.get(slot);
        if (run == null) {
            return false;
        }
        run.mCopies--;
        if (run.mCopies <= 0) {
            mRuns.remove(slot);
            return false;
        }
        return true;
    }

    /** Records that a slot has its sample, for the latency statistics of hedging. */
    void recordSample(int slot, long nowMs) {
        SlotRun run = mRuns.get(slot);
        if (run != null) {
            mHedges.recordDuration(nowMs - run.mStartedMs);
        }
    }

    /** Returns the slots whose single copy is late and that the hedging policy allows to hedge. */
    List<Integer> selectHedges(long nowMs) {
        List<Integer> late = new ArrayList<>();
        int samples = mScheduler.ledger().total();
        mRuns.forEach(
                (slot, run) -> {
                    boolean isSingle = run.mCopies == 1 && mScheduler.isRunning(slot);
                    if (isSingle && mHedges.tryHedge(nowMs - run.mStartedMs, samples)) {
                        late.add(slot);
                    }
                });
        return late;
    }

    // Accessors

    KeyHash keyHash() {
        return mKeyHash;
    }

    boolean isWriting(long nowMs) {
        return mIsWriting || nowMs < mNextWriteMs;
    }

    long nextRunMs() {
        return mNextRunMs;
    }

    Optional<DeliveryPoll> waitingPoll() {
        return mPoll;
    }

    Optional<DeliveryPlan.Write> proposedWrite() {
        return mProposedWrite;
    }

    StepScheduler scheduler() {
        return mScheduler;
    }

    EnvironmentDocument.Trainer trainer() {
        return mTrainer;
    }

    long version() {
        return mVersion;
    }

    private static final class SlotRun {
        private final long mStartedMs;
        private int mCopies;

        SlotRun(long startedMs) {
            mStartedMs = startedMs;
        }
    }
}
