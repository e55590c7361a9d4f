package dev.cactusspan.store;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * The way of one process to a shared store. It can be cut off, lose replies, deliver them late,
 * carry writes out late, and fail reads.
 */
public final class UnreliableKeyStore implements KeyStore {

    /** Time after which a call without a reply is given up, in milliseconds. */
    private static final long TIMEOUT_MS = 800;

    /** Maximum time by which a write is carried out late, in milliseconds. */
    private static final int MAX_LATE_MS = 2_500;

    private final KeyStore mStore;
    private final ManualThread mThread;
    private final List<Delayed> mDelayed = new ArrayList<>();
    private Random mRandom = new Random(0);
    private double mFaultRate;
    private boolean mIsCut;
    private String mLostPrefix = "";
    private int mRepliesToLose;
    private int mReadsToFail;
    private String mDelayedPrefix = "";
    private int mRepliesToDelay;
    private long mReplyDelayMs;

    public UnreliableKeyStore(KeyStore store, ManualThread thread) {
        mStore = store;
        mThread = thread;
    }

    private record Delayed(long atMs, Runnable action) {}

    private interface Call<T> {
        @CanIgnoreReturnValue
        CompletableFuture<Result<T>> send();
    }

    // Faults

    /** Sets the share of calls that meet one of the faults. */
    public void setFaults(Random random, double faultRate) {
        mRandom = random;
        mFaultRate = faultRate;
    }

    public void setCut(boolean isCut) {
        mIsCut = isCut;
    }

    /** Loses the replies to the next writes of keys with a prefix. */
    public void loseReplies(String prefix, int count) {
        mLostPrefix = prefix;
        mRepliesToLose = count;
    }

    /**
     * Delays the replies to the next writes of keys with a prefix, which are carried out at once.
     */
    public void delayReplies(String prefix, int count, long delayMs) {
        mDelayedPrefix = prefix;
        mRepliesToDelay = count;
        mReplyDelayMs = delayMs;
    }

    /** Fails the next reads of single keys. */
    public void failReads(int count) {
        mReadsToFail = count;
    }

    /** Does what is due. */
    public void step() {
        List<Delayed> due = new ArrayList<>();
        mDelayed.removeIf(d -> mThread.nowMs() >= d.atMs() && due.add(d));
        due.forEach(d -> d.action().run());
    }

    private static <T> CompletableFuture<Result<T>> failed(ErrorKind kind) {
        return CompletableFuture.completedFuture(Result.fail(kind, "fault"));
    }

    private void later(long delayMs, Runnable action) {
        mDelayed.add(new Delayed(mThread.nowMs() + delayMs, action));
    }

    private boolean isFaulty() {
        return mRandom.nextDouble() < mFaultRate;
    }

    private <T> CompletableFuture<Result<T>> read(Call<T> call) {
        if (mIsCut || isFaulty()) {
            return failed(ErrorKind.PLATFORM_UNAVAILABLE);
        }
        return call.send();
    }

    private <T> CompletableFuture<Result<T>> write(Call<T> call) {
        if (mIsCut) {
            return failed(ErrorKind.PLATFORM_UNAVAILABLE);
        }
        if (!isFaulty()) {
            return call.send();
        }
        CompletableFuture<Result<T>> future = new CompletableFuture<>();
        switch (mRandom.nextInt(4)) {
            case 0 -> future.complete(Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, "fault"));
            case 1 -> {
                // Carried out now, the reply is lost.
                call.send();
                later(TIMEOUT_MS, () -> future.complete(unknown()));
            }
            case 2 -> {
                // Carried out now, the reply is late.
                Result<T> result = call.send().join();
                later(mRandom.nextInt((int) TIMEOUT_MS), () -> future.complete(result));
            }
            default -> {
                // Carried out late, the reply is lost.
                later(
                        mRandom.nextInt(MAX_LATE_MS),
                        () -> {
                            call.send();
                        });
                later(TIMEOUT_MS, () -> future.complete(unknown()));
            }
        }
        return future;
    }

    private static <T> Result<T> unknown() {
        return Result.fail(ErrorKind.OUTCOME_UNKNOWN, "fault");
    }

    // The store

    @Override
    public boolean isDirect() {
        return mStore.isDirect();
    }

    @Override
    public CompletableFuture<Result<Optional<StoredItem>>> get(String key) {
        if (mReadsToFail > 0) {
            mReadsToFail--;
            return failed(ErrorKind.PLATFORM_UNAVAILABLE);
        }
        return read(() -> mStore.get(key));
    }

    @Override
    public CompletableFuture<Result<Page>> range(String prefix, String after) {
        return read(() -> mStore.range(prefix, after));
    }

    @Override
    public CompletableFuture<Result<Changes>> watch(
            String prefix, long afterRevision, long waitMs) {
        return read(() -> mStore.watch(prefix, afterRevision, waitMs));
    }

    @Override
    public CompletableFuture<Result<Long>> commit(Transaction transaction) {
        if (mRepliesToLose > 0 && !mIsCut && writes(transaction, mLostPrefix)) {
            mRepliesToLose--;
            return mStore.commit(transaction).thenApply(r -> unknown());
        }
        if (mRepliesToDelay > 0 && !mIsCut && writes(transaction, mDelayedPrefix)) {
            mRepliesToDelay--;
            CompletableFuture<Result<Long>> future = new CompletableFuture<>();
            Result<Long> result = mStore.commit(transaction).join();
            later(mReplyDelayMs, () -> future.complete(result));
            return future;
        }
        return write(() -> mStore.commit(transaction));
    }

    private static boolean writes(Transaction transaction, String prefix) {
        return transaction.writes().stream().anyMatch(w -> w.key().startsWith(prefix));
    }

    @Override
    public CompletableFuture<Result<Long>> grantLease(long ttlMs) {
        return write(() -> mStore.grantLease(ttlMs));
    }

    @Override
    public CompletableFuture<Result<Long>> renewLease(long lease) {
        return write(() -> mStore.renewLease(lease));
    }

    @Override
    public CompletableFuture<Result<Boolean>> endLease(long lease) {
        return write(() -> mStore.endLease(lease));
    }
}
