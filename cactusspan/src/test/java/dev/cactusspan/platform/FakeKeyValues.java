package dev.cactusspan.platform;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * A fake key-value service. A test decides when each call takes effect and completes: calls may run
 * in any order, late, or with the reply lost. Watches return the present entry without waiting.
 */
public final class FakeKeyValues implements KeyValueService {
    private final Map<String, Entry> mEntries = new HashMap<>();
    private final List<Call> mCalls = new ArrayList<>();
    private final Random mRandom;
    private double mLostReplyRate;
    private double mFailureRate;
    private double mLateEffectRate;
    private int mWrites;
    private int mReads;

    /**
     * Creates an empty service.
     *
     * @param random decides order and faults
     */
    public FakeKeyValues(Random random) {
        mRandom = random;
    }

    // Operations

    /** Sets the fractions of calls whose reply is lost, and of calls that fail without effect. */
    public void faults(double lostReplyRate, double failureRate) {
        mLostReplyRate = lostReplyRate;
        mFailureRate = failureRate;
    }

    /** Sets the fraction of calls that take effect only after they have failed for the caller. */
    public void lateEffects(double rate) {
        mLateEffectRate = rate;
    }

    private static Runnable lateEffect(Call call) {
        var unused = call.effect().get();
        return () -> {};
    }

    /** Writes a key at once. */
    public void put(String key, byte[] value) {
        long version = mEntries.containsKey(key) ? mEntries.get(key).version() : 0;
        mEntries.put(key, new Entry(version + 1, value));
    }

    /** Returns a key at once. */
    public Optional<Entry> peek(String key) {
        return Optional.ofNullable(mEntries.get(key));
    }

    /** Executes a random pending call; returns false if there is none. */
    public boolean step() {
        if (mCalls.isEmpty()) {
            return false;
        }
        Call call = mCalls.remove(mRandom.nextInt(mCalls.size()));
        if (mRandom.nextDouble() < mFailureRate) {
            call.fail().run();
            return true;
        }
        if (mRandom.nextDouble() < mLateEffectRate) {
            call.fail().run();
            mCalls.add(new Call(() -> lateEffect(call), () -> {}));
            return true;
        }
        Runnable reply = call.effect().get();
        if (mRandom.nextDouble() < mLostReplyRate) {
            call.fail().run();
            return true;
        }
        reply.run();
        return true;
    }

    @Override
    public CompletableFuture<Result<Optional<Entry>>> get(String key) {
        mReads++;
        CompletableFuture<Result<Optional<Entry>>> future = new CompletableFuture<>();
        add(
                future,
                () -> {
                    Optional<Entry> entry = peek(key);
                    return () -> future.complete(Result.of(entry));
                });
        return future;
    }

    @Override
    public CompletableFuture<Result<Optional<Entry>>> watch(
            String key, long afterVersion, long waitMs) {
        return get(key).thenApply(
                        r -> r.map(e -> e.filter(found -> found.version() > afterVersion)));
    }

    @Override
    public CompletableFuture<Result<Long>> compareAndSwap(
            String key, long expectedVersion, byte[] value) {
        mWrites++;
        CompletableFuture<Result<Long>> future = new CompletableFuture<>();
        add(
                future,
                () -> {
                    long present = peek(key).map(Entry::version).orElse(0L);
                    if (present != expectedVersion) {
                        return () -> future.complete(Result.fail(ErrorKind.CONFLICT, "other"));
                    }
                    mEntries.put(key, new Entry(expectedVersion + 1, value));
                    return () -> future.complete(Result.of(expectedVersion + 1));
                });
        return future;
    }

    private <T> void add(CompletableFuture<Result<T>> future, Supplier<Runnable> effect) {
        Runnable fail =
                () -> future.complete(Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, "no reply"));
        mCalls.add(new Call(effect, fail));
    }

    // Accessors

    /** Returns the number of writes that were requested. */
    public int writes() {
        return mWrites;
    }

    /** Returns the number of reads and watches that were requested. */
    public int reads() {
        return mReads;
    }

    private record Call(Supplier<Runnable> effect, Runnable fail) {}
}
