package dev.cactusspan.gateway;

import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.KeyStore;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * A lease that is never renewed: it is replaced by another one when half of its time has passed, so
 * that each key expires between one half and the whole of that time after it was written.
 */
final class RotatingLease {
    private final KeyStore mStore;
    private final Executor mThread;
    private final long mTtlMs;
    private final LongSupplier mNowMs;
    private long mLease;
    private long mUntilMs;

    RotatingLease(KeyStore store, Executor thread, long ttlMs, LongSupplier nowMs) {
        mStore = store;
        mThread = thread;
        mTtlMs = ttlMs;
        mNowMs = nowMs;
        mUntilMs = nowMs.getAsLong();
    }

    /** Passes a lease that lasts for half of its time at least, or why there is none. */
    void acquire(Consumer<Result<Long>> consumer) {
        long nowMs = mNowMs.getAsLong();
        if (nowMs < mUntilMs) {
            consumer.accept(Result.of(mLease));
            return;
        }
        FutureResults.deliver(
                mStore.grantLease(mTtlMs),
                mThread,
                r -> {
                    if (r.isOk()) {
                        mLease = r.get();
                        mUntilMs = nowMs + mTtlMs / 2;
                    }
                    consumer.accept(r);
                });
    }

    /** Drops a lease that the store no longer knows. */
    void drop() {
        mUntilMs = mNowMs.getAsLong();
    }
}
