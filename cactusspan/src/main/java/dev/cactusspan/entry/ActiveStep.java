package dev.cactusspan.entry;

import dev.cactusspan.config.EnvironmentDocument;
import dev.cactusspan.config.KeyHash;
import dev.cactusspan.sample.DeliveryPlan;
import dev.cactusspan.sample.StepBook;
import java.util.Optional;

/** A step that this entry holds for a trainer. */
final class ActiveStep {
    private final StepBook mBook;
    private final EnvironmentDocument.Trainer mTrainer;
    private KeyHash mKeyHash;
    private long mVersion;
    private Optional<DeliveryPoll> mPoll = Optional.empty();
    private Optional<DeliveryPlan.Write> mProposed = Optional.empty();
    private boolean mIsWriting;
    private long mNextWriteMs;
    private long mNextRunMs;

    /**
     * Creates a held step.
     *
     * @param book its decisions
     * @param trainer the trainer as declared
     * @param keyHash hash of the key that it was submitted under
     * @param version version of the ledger in the key-value service
     */
    ActiveStep(StepBook book, EnvironmentDocument.Trainer trainer, KeyHash keyHash, long version) {
        mBook = book;
        mTrainer = trainer;
        mKeyHash = keyHash;
        mVersion = version;
    }

    // Operations

    /** Replaces the poll that waits; a trainer has one at a time. */
    Optional<DeliveryPoll> poll(DeliveryPoll poll) {
        Optional<DeliveryPoll> previous = mPoll;
        mPoll = Optional.of(poll);
        return previous;
    }

    Optional<DeliveryPoll> takePoll() {
        Optional<DeliveryPoll> poll = mPoll;
        mPoll = Optional.empty();
        return poll;
    }

    void propose(DeliveryPlan.Write plan) {
        mProposed = Optional.of(plan);
    }

    /** Marks the proposed ledger as written and returns the bytes of its delivery, if any. */
    Optional<byte[]> written(long version) {
        mVersion = version;
        DeliveryPlan.Write plan = mProposed.orElseThrow();
        mProposed = Optional.empty();
        return mBook.written(plan);
    }

    void writing(boolean isWriting, long nextWriteMs) {
        mIsWriting = isWriting;
        mNextWriteMs = nextWriteMs;
    }

    void nextRunAt(long timeMs) {
        mNextRunMs = timeMs;
    }

    /** Takes the key under which the same step was submitted again. */
    void keyHash(KeyHash keyHash) {
        mKeyHash = keyHash;
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

    Optional<DeliveryPlan.Write> proposed() {
        return mProposed;
    }

    StepBook book() {
        return mBook;
    }

    EnvironmentDocument.Trainer trainer() {
        return mTrainer;
    }

    long version() {
        return mVersion;
    }
}
