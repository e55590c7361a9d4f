package dev.cactusspan.lease;

import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.util.Arrays;
import java.util.Optional;

/**
 * State of this process in the election for a duty. The lease is a key that its holder rewrites
 * periodically. A successor acquires it only after the key has been unchanged, by the successor's
 * own clock, for the lease time plus a guard time. The holder counts the lease time from before it
 * sent the renewal. Two leases therefore never overlap, whatever time the clocks show, as long as
 * both clocks run at the same rate.
 *
 * <p>The class does no I/O: the caller executes the step from {@link #nextStep} and reports its
 * outcome.
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
     * @param owner unique name of this run of the process
     * @param times lease times
     */
    public DutyLease(String owner, LeaseTimes times) {
        mOwner = owner;
        mTimes = times;
    }

    // Operations

    /**
     * Sets whether this process should acquire the duty when it is free.
     *
     * @param isCandidate true if it should
     */
    public void setCandidate(boolean isCandidate) {
        mIsCandidate = isCandidate;
    }

    /** Releases the duty at the next step, so that a successor need not wait for it to expire. */
    public void release() {
        mIsCandidate = false;
        mIsReleasing = true;
        mNextMs = Long.MIN_VALUE;
    }

    /**
     * Returns the next operation on the key-value service.
     *
     * @param nowMs monotonic time in milliseconds
     * @return a step, empty if one is in progress or none is due
     */
    public Optional<Step> nextStep(long nowMs) {
        if (mIsBusy || nowMs < mNextMs) {
            return Optional.empty();
        }
        boolean isOwn = mIsKnown && mRecord.holder().equals(mOwner);
        if (!isOwn && !mIsCandidate) {
            return Optional.empty();
        }
        mNextMs = nowMs + mTimes.renewMs();
        if (!mIsKnown) {
            mIsBusy = true;
            return Optional.of(new Step.Read());
        }
        if (isOwn) {
            return write(mIsReleasing ? mRecord.released() : mRecord.renewed(), nowMs);
        }
        long acquireAtMs = mUnchangedSinceMs + mTimes.ttlMs() + mTimes.guardMs();
        if (mRecord.isFree() || nowMs >= acquireAtMs) {
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
     * Handles the outcome of a read.
     *
     * @param result the entry that was read
     * @param nowMs monotonic time in milliseconds
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
        observe(record, version, nowMs);
        if (isProposed && record.holder().equals(mOwner)) {
            // The write took effect although its response was lost.
            acquire();
        }
    }

    private static Optional<LeaseRecord> record(KeyValueService.Entry entry) {
        return JsonText.read(entry.value(), LeaseRecord.class)
                .fold(f -> Optional.empty(), Optional::of);
    }

    private void observe(LeaseRecord record, long version, long nowMs) {
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
     * Handles the outcome of a write.
     *
     * @param result the new version, {@code conflict}, or a failure that leaves the outcome unknown
     * @param nowMs monotonic time in milliseconds
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
                    observe(mProposed, version, nowMs);
                    if (mProposed.holder().equals(mOwner)) {
                        acquire();
                    }
                    return null;
                });
    }

    /**
     * Starts or extends the lease after the proposed record took effect, counted from before it was
     * sent.
     */
    private void acquire() {
        mIsHolder = true;
        mHeldUntilMs = mSentMs + mTimes.ttlMs();
        mFencing = mProposed.fencing();
    }

    // Accessors

    /**
     * Returns the fencing number if the duty is held. Must be called directly before each order.
     *
     * @param nowMs monotonic time in milliseconds, read after the order was prepared
     * @return the number, empty unless it is certain that the duty is held
     */
    public Optional<FencingNumber> heldFencingNumber(long nowMs) {
        boolean isHeld = mIsHolder && nowMs < mHeldUntilMs - mTimes.marginMs() && !mIsReleasing;
        return isHeld ? Optional.of(mFencing) : Optional.empty();
    }

    /** Operation on the key-value service. */
    public sealed interface Step {
        /** Reads the duty's key. */
        record Read() implements Step {}

        /**
         * Writes the duty's key.
         *
         * @param expectedVersion version that the write replaces
         * @param value the new value
         */
        record Write(long expectedVersion, byte[] value) implements Step {}
    }
}
