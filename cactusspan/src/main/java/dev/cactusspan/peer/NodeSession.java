package dev.cactusspan.peer;

import dev.cactusspan.observe.Decision;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.routing.Backoff;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.Transaction;
import dev.cactusspan.text.JsonText;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Keeps this process's lease and its key in the directory. The remaining time is counted from
 * before each renewal was sent, so that it is never overestimated.
 */
public final class NodeSession {

    /** Time after which a failed process is detected; the platform's shortest lease is 1 s. */
    private static final long LEASE_TTL_MS = 3_000;

    private static final long RENEW_INTERVAL_MS = LEASE_TTL_MS / 3;

    private final KeyStore mStore;
    private NodeRecord mSelf;
    private final Executor mThread;
    private final Backoff mBackoff;
    private final LongSupplier mNowMs;
    private long mLease;
    private boolean mIsRegistered;
    private boolean mIsBusy;
    private boolean mIsClosed;
    private long mNextMs;
    private long mValidUntilMs;
    private int mFailures;

    /**
     * Creates a session; {@link #tick} drives it.
     *
     * @param store the store
     * @param self what to register
     * @param thread runs the callbacks; all methods but {@link #self} are called on its thread
     * @param backoff delays after failures
     * @param nowMs monotonic clock in milliseconds
     */
    public NodeSession(
            KeyStore store, NodeRecord self, Executor thread, Backoff backoff, LongSupplier nowMs) {
        mStore = store;
        mSelf = self;
        mThread = thread;
        mBackoff = backoff;
        mNowMs = nowMs;
    }

    // Operations

    /** Starts the next call, if one is due. */
    public void tick() {
        long nowMs = mNowMs.getAsLong();
        if (mIsBusy || mIsClosed || nowMs < mNextMs) {
            return;
        }
        mIsBusy = true;
        if (mLease == 0) {
            FutureResults.deliver(
                    mStore.grantLease(LEASE_TTL_MS),
                    mThread,
                    r -> r.fold(this::failed, lease -> granted(lease, nowMs)));
        } else if (!mIsRegistered) {
            register(nowMs);
        } else {
            FutureResults.deliver(
                    mStore.renewLease(mLease),
                    mThread,
                    r -> r.fold(this::failed, ttlMs -> renewed(nowMs, ttlMs)));
        }
    }

    private Void granted(long lease, long sentMs) {
        mLease = lease;
        succeeded(sentMs, LEASE_TTL_MS);
        mNextMs = mNowMs.getAsLong();
        return null;
    }

    private void register(long sentMs) {
        NodeRecord record = mSelf;
        String key = NodeDirectory.PREFIX + record.vm().value();
        Transaction write =
                Transaction.of(
                        List.of(),
                        List.of(new Transaction.Write(key, JsonText.write(record), mLease)));
        FutureResults.deliver(
                mStore.commit(write),
                mThread,
                r ->
                        r.fold(
                                this::failed,
                                revision -> {
                                    // It may have begun to leave since.
                                    mIsRegistered = record.equals(mSelf);
                                    mIsBusy = false;
                                    mNextMs = mIsRegistered ? sentMs + RENEW_INTERVAL_MS : 0;
                                    Decision.of("registered")
                                            .with("node", record.owner())
                                            .with("lease", mLease)
                                            .info();
                                    return null;
                                }));
    }

    private Void renewed(long sentMs, long ttlMs) {
        succeeded(sentMs, ttlMs);
        mNextMs = sentMs + RENEW_INTERVAL_MS;
        return null;
    }

    private void succeeded(long sentMs, long ttlMs) {
        mIsBusy = false;
        mFailures = 0;
        mValidUntilMs = sentMs + ttlMs;
    }

    private Void failed(Failure failure) {
        mIsBusy = false;
        if (failure.kind() == ErrorKind.NOT_FOUND) {
            Decision.of("lease_lost").with("lease", mLease).warn();
            mLease = 0;
            mIsRegistered = false;
            mValidUntilMs = 0;
            return null;
        }
        mFailures++;
        mNextMs = mNowMs.getAsLong() + mBackoff.delayMs(mFailures);
        return null;
    }

    /** Registers that this process is about to stop, so that it gets no new work. */
    public void leave() {
        mSelf = mSelf.asLeaving();
        mIsRegistered = false;
        mNextMs = mNowMs.getAsLong();
    }

    /** Ends the lease, so that other processes take over at once. */
    public void close() {
        mIsClosed = true;
        mValidUntilMs = 0;
        if (mLease != 0) {
            FutureResults.deliver(
                    mStore.endLease(mLease),
                    mThread,
                    r -> Decision.of("lease_ended").with("lease", mLease).info());
        }
    }

    // Accessors

    /**
     * Returns whether the lease is confirmed for at least the given time. After a failed renewal
     * this is false, as the store may let leases expire in an outage.
     *
     * @param marginMs the time in milliseconds
     * @return true if the lease lasts that long
     */
    public boolean isHeld(long marginMs) {
        return mIsRegistered && mFailures == 0 && mNowMs.getAsLong() + marginMs < mValidUntilMs;
    }

    /**
     * Returns the lease.
     *
     * @return its number, zero if there is none
     */
    public long lease() {
        return mLease;
    }

    /**
     * Returns the record that this process registers.
     *
     * @return the record
     */
    public NodeRecord self() {
        return mSelf;
    }
}
