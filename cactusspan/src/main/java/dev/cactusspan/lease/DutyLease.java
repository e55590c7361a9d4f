package dev.cactusspan.lease;

import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.util.Arrays;
import java.util.Optional;

/**
 * Decides when this process holds a duty. The lease is a key that its holder rewrites; a successor
 * takes it only after the key stood unchanged, by the successor's own clock, for the lease and a
 * guard. The holder counts its lease from before it sent the renewal. So the two never overlap,
 * whatever the clocks show, as long as both run at the same rate.
 *
 * <p>The class does no I/O: the caller carries out {@link #nextStep} and reports back.
 */
public final class DutyLease {
    private final String mOwner;
    private final LeaseTimes mTimes;
    private LeaseRecord mRecord = LeaseRecord.NONE;
    private long mVersion = -1;
    private long mUnchangedSinceMs;
    private FencingNumber mFencing = FencingNumber.NONE;
    private boolean mIsHolder;
    private long mHeldUntilMs;
    private long mNextMs;
    private long mSentMs;
    private LeaseRecord mProposed = LeaseRecord.NONE;
    private boolean mIsBusy;
    private boolean mIsKnown;
    private boolean mIsCandidate;
    private boolean mIsReleasing;

    /**
     * Creates a lease that is not held.
     *
     * @param owner names this start of this process
     * @param times times of the lease
     */
    public DutyLease(String owner, LeaseTimes times) {
        mOwner = owner;
        mTimes = times;
    }

    // Operations

    /**
     * Tells whether this process should take the duty when it is free.
     *
     * @param isCandidate true if it should
     */
    public void setCandidate(boolean isCandidate) {
        mIsCandidate = isCandidate;
    }

    /** Gives the duty up at the next step, so that a successor need not wait. */
    public void release() {
        mIsCandidate = false;
        mIsReleasing = true;
        mNextMs = Long.MIN_VALUE;
    }

    /**
     * Returns what to do at the key-value service next.
     *
     * @param nowMs monotonic time
     * @return a step, empty if one is under way or nothing is due
     */
    public Optional<Step> nextStep(long nowMs) {
        if (mIsBusy || nowMs < mNextMs) {
            return Optional.empty();
        }
        boolean isOurs = mIsKnown && mRecord.holder().equals(mOwner);
        if (!isOurs && !mIsCandidate) {
            return Optional.empty();
        }
        mNextMs = nowMs + mTimes.renewMs();
        if (!mIsKnown) {
            mIsBusy = true;
            return Optional.of(new Step.Read());
        }
        if (isOurs) {
            return write(mIsReleasing ? mRecord.released() : mRecord.renewed(), nowMs);
        }
        long takeAtMs = mUnchangedSinceMs + mTimes.ttlMs() + mTimes.guardMs();
        if (mRecord.isFree() || nowMs >= takeAtMs) {
            return write(mRecord.acquiredBy(mOwner), nowMs);
        }
        mIsBusy = true;
        return Optional.of(new Step.Read());
    }

    private Optional<Step> write(LeaseRecord record, long nowMs) {
        mIsBusy = true;
        mProposed = record;
        mSentMs = nowMs;
        return Optional.of(new Step.Write(Math.max(0, mVersion), JsonText.write(record)));
    }

    /**
     * Takes the outcome of a read.
     *
     * @param result the entry as read
     * @param nowMs monotonic time
     */
    public void onRead(Result<Optional<KeyValueService.Entry>> result, long nowMs) {
        mIsBusy = false;
        if (!result.isOk()) {
            return;
        }
        Optional<KeyValueService.Entry> entry = result.get();
        long version = entry.map(KeyValueService.Entry::version).orElse(0L);
        if (mIsKnown && version == mVersion) {
            return;
        }
        LeaseRecord record = entry.flatMap(DutyLease::record).orElse(LeaseRecord.NONE);
        boolean isProposed =
                entry.isPresent() && Arrays.equals(entry.get().value(), JsonText.write(mProposed));
        seen(record, version, nowMs);
        if (isProposed && record.holder().equals(mOwner)) {
            // The reply to the write was lost, and the write took effect.
            hold();
        }
    }

    private static Optional<LeaseRecord> record(KeyValueService.Entry entry) {
        return JsonText.read(entry.value(), LeaseRecord.class)
                .fold(f -> Optional.empty(), Optional::of);
    }

    private void seen(LeaseRecord record, long version, long nowMs) {
        mIsKnown = true;
        mRecord = record;
        mVersion = version;
        mUnchangedSinceMs = nowMs;
        if (!record.holder().equals(mOwner)) {
            mIsHolder = false;
        }
        mNextMs = record.isFree() && mIsCandidate ? nowMs : mNextMs;
    }

    /**
     * Takes the outcome of a write.
     *
     * @param result the new version, {@code conflict}, or a failure that leaves it unknown
     * @param nowMs monotonic time
     */
    public void onWritten(Result<Long> result, long nowMs) {
        mIsBusy = false;
        result.fold(
                failure -> {
                    boolean isConflict = failure.kind() == ErrorKind.CONFLICT;
                    mIsKnown = false;
                    mNextMs = isConflict ? nowMs : mNextMs;
                    return null;
                },
                version -> {
                    seen(mProposed, version, nowMs);
                    if (mProposed.holder().equals(mOwner)) {
                        hold();
                    }
                    return null;
                });
    }

    /** The proposed record took effect: the lease counts from before it was sent. */
    private void hold() {
        mIsHolder = true;
        mHeldUntilMs = mSentMs + mTimes.ttlMs();
        mFencing = mProposed.fencing();
    }

    // Accessors

    /**
     * Returns the fencing number, if the duty is held. It must be asked directly before each order.
     *
     * @param nowMs monotonic time, read after the order was prepared
     * @return the number, empty if the duty is not surely held
     */
    public Optional<FencingNumber> heldFencingNumber(long nowMs) {
        boolean isHeld = mIsHolder && nowMs < mHeldUntilMs - mTimes.marginMs() && !mIsReleasing;
        return isHeld ? Optional.of(mFencing) : Optional.empty();
    }

    /** What to do at the key-value service. */
    public sealed interface Step {
        /** Read the duty's key. */
        record Read() implements Step {}

        /**
         * Write the duty's key.
         *
         * @param expectedVersion the version to replace
         * @param value the new value
         */
        record Write(long expectedVersion, byte[] value) implements Step {}
    }
}
