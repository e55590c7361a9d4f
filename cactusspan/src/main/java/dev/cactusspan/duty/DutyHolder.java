package dev.cactusspan.duty;

import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.peer.NodeRecord;
import dev.cactusspan.peer.NodeSession;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.store.Transaction;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Holds a duty through a key that goes with this process's lease. The revision of the write that
 * took the key is the fencing number: no two holders have the same, and later ones have higher
 * ones. A process that held the duty before another one did waits before it acts again, so that two
 * holders do not take turns.
 */
public final class DutyHolder {

    /** Prefix of the duties' keys; the duty's name follows. */
    public static final String PREFIX = "cs/control/duty/";

    /** The lease must last this long for a call to be sent, in milliseconds. */
    private static final long MIN_LEASE_LEFT_MS = 700;

    /** Pause between tries to take the duty, in milliseconds. */
    private static final long RETRY_MS = 300;

    private final KeyStore mStore;
    private final NodeSession mSession;
    private final NodeDirectory mNodes;
    private final String mName;
    private final long mHandoverDelayMs;
    private final Executor mThread;
    private final LongSupplier mNowMs;
    private Optional<StoredItem> mKey = Optional.empty();
    private FencingNumber mFencing = FencingNumber.NONE;
    private long mLease;
    private long mActNotBeforeMs;
    private long mLastActMs;
    private boolean mIsBusy;
    private boolean mIsFenced;
    private long mNextAttemptMs;

    /**
     * Creates a holder; it works when it is ticked.
     *
     * @param store the store
     * @param session this process's lease
     * @param nodes the processes that are alive
     * @param name the duty's name
     * @param handoverDelayMs holders may not take turns within this time
     * @param bootWaitMs how long a new process waits before it acts, as it may have held the duty
     *     before; zero where numbers are checked
     * @param thread the thread on which everything happens
     * @param nowMs steady clock in milliseconds
     */
    public DutyHolder(
            KeyStore store,
            NodeSession session,
            NodeDirectory nodes,
            String name,
            long handoverDelayMs,
            long bootWaitMs,
            Executor thread,
            LongSupplier nowMs) {
        mStore = store;
        mSession = session;
        mNodes = nodes;
        mName = name;
        mHandoverDelayMs = handoverDelayMs;
        mThread = thread;
        mNowMs = nowMs;
        mLastActMs = nowMs.getAsLong() + bootWaitMs - handoverDelayMs;
    }

    // Operations

    /**
     * Takes a change of the duty's key.
     *
     * @param item what it holds, empty if it is gone
     */
    public void onKeyChanged(Optional<StoredItem> item) {
        mKey = item;
        boolean isHeldByOther = item.isPresent() && !owner(item.get()).equals(self());
        if (isHeldByOther && item.get().revision() > mFencing.number()) {
            relinquish("another process holds it");
        }
    }

    /** Tries to take the duty, if no process holds it and this one is chosen for it. */
    public void tick() {
        if (isAcquired() && mLease != mSession.lease()) {
            relinquish("the lease is another");
        }
        long nowMs = mNowMs.getAsLong();
        boolean isChosen = mNodes.choose(mName).equals(Optional.of(self()));
        boolean isOwnKeyFenced = mIsFenced && mKey.map(k -> owner(k).equals(self())).orElse(false);
        boolean isEligible = isOwnKeyFenced || isHeldByFormerBoot() || (mKey.isEmpty() && isChosen);
        if (mIsBusy || isAcquired() || !isEligible || nowMs < mNextAttemptMs) {
            return;
        }
        if (mSession.isHeld(MIN_LEASE_LEFT_MS)) {
            acquire(nowMs);
        }
    }

    /** Tells whether a former process of this VM holds the key; it is surely gone. */
    private boolean isHeldByFormerBoot() {
        String vm = mSession.self().vm().value() + NodeRecord.BOOT_SEPARATOR;
        return mKey.map(DutyHolder::owner)
                .filter(o -> o.startsWith(vm) && !o.equals(self()))
                .isPresent();
    }

    private void acquire(long nowMs) {
        mIsBusy = true;
        mNextAttemptMs = nowMs + RETRY_MS;
        long lease = mSession.lease();
        long expected = mKey.map(StoredItem::revision).orElse(0L);
        byte[] value = self().getBytes(StandardCharsets.UTF_8);
        Transaction write =
                Transaction.of(
                        List.of(new Transaction.Expectation(key(), expected)),
                        List.of(new Transaction.Write(key(), value, lease)));
        FutureResults.deliver(
                mStore.commit(write),
                mThread,
                r -> r.fold(this::onAcquireFailed, revision -> onAcquired(revision, lease)));
    }

    private Void onAcquired(long revision, long lease) {
        mIsBusy = false;
        mIsFenced = false;
        mFencing = FencingNumber.of(revision);
        mLease = lease;
        mActNotBeforeMs = mLastActMs + mHandoverDelayMs;
        Decision.of("duty_taken")
                .with("duty", mName)
                .with("fencing", revision)
                .with("acts_in_ms", Math.max(0, mActNotBeforeMs - mNowMs.getAsLong()))
                .info();
        return null;
    }

    private Void onAcquireFailed(Failure failure) {
        mIsBusy = false;
        if (failure.kind() == ErrorKind.PLATFORM_UNAVAILABLE) {
            return null;
        }
        mIsBusy = true;
        FutureResults.deliver(
                mStore.get(key()),
                mThread,
                r ->
                        r.fold(
                                f -> {
                                    mIsBusy = false;
                                    return null;
                                },
                                item -> {
                                    onKeyRead(item);
                                    return null;
                                }));
        return null;
    }

    /** A lost answer leaves open who holds the key; what it holds now tells. */
    private void onKeyRead(Optional<StoredItem> item) {
        mIsBusy = false;
        onKeyChanged(item);
        boolean isMine =
                item.isPresent()
                        && owner(item.get()).equals(self())
                        && item.get().lease() == mSession.lease();
        if (isMine) {
            onAcquired(item.get().revision(), item.get().lease());
        }
    }

    /** Notes that a call or an order is sent now. */
    public void recordAction() {
        mLastActMs = mNowMs.getAsLong();
    }

    /** Notes that a call was refused because of a higher fencing number. */
    public void onFenced() {
        mIsFenced = true;
        relinquish("refused: a higher fencing number was seen");
    }

    private void relinquish(String reason) {
        if (isAcquired()) {
            Decision.of("duty_dropped")
                    .with("duty", mName)
                    .with("fencing", mFencing.number())
                    .with("reason", reason)
                    .info();
        }
        mFencing = FencingNumber.NONE;
    }

    private boolean isAcquired() {
        return !mFencing.equals(FencingNumber.NONE);
    }

    // Accessors

    /**
     * Returns the fencing number to act under now.
     *
     * @return the number, empty if this process may not act
     */
    public Optional<FencingNumber> fencing() {
        boolean mayAct =
                isAcquired()
                        && mLease == mSession.lease()
                        && mSession.isHeld(MIN_LEASE_LEFT_MS)
                        && mNowMs.getAsLong() >= mActNotBeforeMs;
        return mayAct ? Optional.of(mFencing) : Optional.empty();
    }

    private String key() {
        return PREFIX + mName;
    }

    private String self() {
        return mSession.self().owner();
    }

    private static String owner(StoredItem item) {
        return new String(item.value(), StandardCharsets.UTF_8);
    }
}
