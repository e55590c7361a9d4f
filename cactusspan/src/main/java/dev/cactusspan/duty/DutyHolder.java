package dev.cactusspan.duty;

import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.observe.Decision;
import dev.cactusspan.peer.NodeDirectory;
import dev.cactusspan.peer.NodeRecord;
import dev.cactusspan.peer.NodeSession;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.OpenWrite;
import dev.cactusspan.store.StoredItem;
import dev.cactusspan.store.Transaction;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Holds a duty through a key that is bound to this process's lease. The revision of the write that
 * acquired the key is the fencing number: it is unique to a holder and increases from holder to
 * holder. A process that reacquires the duty waits before it acts again, so that two holders do not
 * alternate within a short time. A process that finds its own key without acting under it, because
 * the outcome of its write was open or a receiver refused its number, writes the key again.
 */
public final class DutyHolder {

    /** Prefix of the duty keys, followed by the name of the duty. */
    public static final String PREFIX = "cs/control/duty/";

    /** Minimum remaining time of the lease for a call to be sent, in milliseconds. */
    private static final long MIN_LEASE_LEFT_MS = 700;

    /** Delay between attempts to acquire the duty, in milliseconds. */
    private static final long RETRY_MS = 300;

    private final KeyStore mStore;
    private final NodeSession mSession;
    private final NodeDirectory mNodes;
    private final String mName;
    private final long mHandoverDelayMs;
    private final Executor mThread;
    private final LongSupplier mNowMs;
    private final OpenWrite mWrite = new OpenWrite();
    private Optional<StoredItem> mKey = Optional.empty();
    private FencingNumber mFencing = FencingNumber.NONE;
    private long mLease;
    private long mActNotBeforeMs;
    private long mLastActMs;
    private boolean mIsBusy;
    private long mExpectedRevision;
    private long mNextAttemptMs;

    /**
     * Creates a holder, which acts on {@link #tick}.
     *
     * @param store the store
     * @param session session of this process, which holds its lease
     * @param nodes directory of the live processes
     * @param name name of the duty
     * @param handoverDelayMs minimum time between the last action of this process and its next one
     *     after it reacquires the duty, in milliseconds
     * @param bootWaitMs how long a new process waits before it acts, as it may have held the duty
     *     before its start, in milliseconds; zero where the receiver checks fencing numbers
     * @param thread the single thread on which all calls and callbacks run
     * @param nowMs monotonic clock in milliseconds
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
     * Handles a change of the duty's key.
     *
     * @param item its new value, empty if the key was deleted
     */
    public void onKeyChanged(Optional<StoredItem> item) {
        mKey = item;
        boolean isHeldByOther = item.isPresent() && !owner(item.get()).equals(self());
        if (isHeldByOther && item.get().revision() > mFencing.number()) {
            relinquish("another process holds it");
        }
    }

    /** Tries to acquire the duty, if no process holds it and this one is chosen for it. */
    public void tick() {
        if (isAcquired() && mLease != mSession.lease()) {
            relinquish("the lease is another");
        }
        long nowMs = mNowMs.getAsLong();
        boolean isChosen = mNodes.choose(mName).equals(Optional.of(self()));
        boolean isIdle = !mIsBusy && !isAcquired() && nowMs >= mNextAttemptMs;
        if (!isIdle || !mSession.isHeld(MIN_LEASE_LEFT_MS)) {
            return;
        }
        switch (mWrite.step()) {
            case READ -> readKey(nowMs);
            case WRITE -> acquire(mExpectedRevision, nowMs);
            default -> {
                boolean isFree = mKey.isEmpty() && isChosen;
                if (isFree || isOwnKey() || isHeldByFormerBoot()) {
                    acquire(mKey.map(StoredItem::revision).orElse(0L), nowMs);
                }
            }
        }
    }

    private boolean isOwnKey() {
        return mKey.map(k -> owner(k).equals(self())).orElse(false);
    }

    /** Tells whether a former process of this VM holds the key; it cannot be running any more. */
    private boolean isHeldByFormerBoot() {
        String vm = mSession.self().vm().value() + NodeRecord.BOOT_SEPARATOR;
        return mKey.map(DutyHolder::owner)
                .filter(o -> o.startsWith(vm) && !o.equals(self()))
                .isPresent();
    }

    private void acquire(long expectedRevision, long nowMs) {
        mIsBusy = true;
        mNextAttemptMs = nowMs + RETRY_MS;
        mExpectedRevision = expectedRevision;
        long lease = mSession.lease();
        byte[] value = self().getBytes(StandardCharsets.UTF_8);
        Transaction write =
                Transaction.of(
                        List.of(new Transaction.Expectation(key(), expectedRevision)),
                        List.of(new Transaction.Write(key(), value, lease)));
        FutureResults.deliver(
                mStore.commit(write),
                mThread,
                r -> r.fold(this::onAcquireFailed, revision -> onAcquired(revision, lease)));
    }

    private Void onAcquired(long revision, long lease) {
        mIsBusy = false;
        mWrite.onWritten();
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
        OpenWrite.Step next = mWrite.onWriteFailed(failure);
        if (next != OpenWrite.Step.SETTLED) {
            logOpen(failure);
        }
        if (next == OpenWrite.Step.READ) {
            readKey(mNowMs.getAsLong());
        }
        return null;
    }

    private void readKey(long nowMs) {
        mIsBusy = true;
        mNextAttemptMs = nowMs + RETRY_MS;
        FutureResults.deliver(
                mStore.get(key()), mThread, r -> r.fold(this::onReadFailed, this::onKeyRead));
    }

    private Void onReadFailed(Failure failure) {
        mIsBusy = false;
        logOpen(failure);
        return null;
    }

    private void logOpen(Failure failure) {
        Decision.of("duty_open")
                .with("duty", mName)
                .with("next", mWrite.step().name())
                .with("reason", failure.toString())
                .info();
    }

    /**
     * Handles the key as read after it was found changed: its value tells who holds the duty. A
     * value of this process under another lease is written again by the next tick.
     */
    private Void onKeyRead(Optional<StoredItem> item) {
        mIsBusy = false;
        mWrite.onRead();
        onKeyChanged(item);
        if (isOwnKey() && item.orElseThrow().lease() == mSession.lease()) {
            onAcquired(item.get().revision(), item.get().lease());
        }
        return null;
    }

    /** Records that a call or an order is sent now. */
    public void recordAction() {
        mLastActMs = mNowMs.getAsLong();
    }

    /** Handles the refusal of a call by a receiver that has seen a higher fencing number. */
    public void onFenced() {
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
     * Returns the fencing number under which this process may act now.
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
