package dev.cactusspan.entry;

import com.google.common.hash.Hashing;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.usage.AccountUsage;
import dev.cactusspan.usage.UsageShard;
import dev.cactusspan.usage.UsageTotals;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Counts the usage of client accounts at this entry and writes the totals to a shard in the
 * key-value service. Usage counted since the last write is lost if the entry is killed or crashes.
 */
final class UsageMeter {
    /** Number of shards, each a key that several entries write their totals to. */
    static final int SHARDS = 16;

    private static final long FLUSH_MS = 5_000;

    private final KeyValueService mKeyValues;
    private final Executor mThread;
    private final LongSupplier mNowMs;
    private final String mSource;
    private final String mKey;
    private UsageTotals mTotals = UsageTotals.EMPTY;
    private UsageTotals mFlushed = UsageTotals.EMPTY;
    private boolean mIsFlushing;
    private long mNextFlushMs;

    UsageMeter(
            EnvironmentId environment,
            String source,
            KeyValueService keyValues,
            Executor thread,
            LongSupplier nowMs) {
        mKeyValues = keyValues;
        mThread = thread;
        mNowMs = nowMs;
        mSource = source;
        int hash = Hashing.murmur3_32_fixed().hashString(source, StandardCharsets.UTF_8).asInt();
        mKey = key(environment, Math.floorMod(hash, SHARDS));
    }

    static String key(EnvironmentId environment, int shard) {
        return "usage/" + environment + "/counters/" + shard;
    }

    // Operations

    void count(AccountId account, long responseBytes) {
        mTotals = mTotals.plus(account, new AccountUsage(1, responseBytes));
    }

    void tick() {
        boolean isChanged = !mTotals.equals(mFlushed);
        if (mIsFlushing || !isChanged || mNowMs.getAsLong() < mNextFlushMs) {
            return;
        }
        flush();
    }

    private void flush() {
        mIsFlushing = true;
        mNextFlushMs = mNowMs.getAsLong() + FLUSH_MS;
        FutureResults.deliver(mKeyValues.get(mKey), mThread, this::onRead);
    }

    private void onRead(Result<Optional<KeyValueService.Entry>> result) {
        if (!result.isOk()) {
            mIsFlushing = false;
            return;
        }
        Optional<KeyValueService.Entry> entry = result.get();
        Result<UsageShard> shard =
                entry.map(e -> JsonText.read(e.value(), UsageShard.class))
                        .orElse(Result.of(UsageShard.EMPTY));
        if (!shard.isOk()) {
            mIsFlushing = false;
            return;
        }
        UsageTotals totals = mTotals;
        byte[] value = JsonText.write(shard.get().with(mSource, totals));
        long version = entry.map(KeyValueService.Entry::version).orElse(0L);
        FutureResults.deliver(
                mKeyValues.compareAndSwap(mKey, version, value),
                mThread,
                r -> onWritten(r, totals));
    }

    private void onWritten(Result<Long> result, UsageTotals totals) {
        mIsFlushing = false;
        if (result.isOk()) {
            mFlushed = totals;
        }
    }

    /** Returns whether all counted usage is durable. */
    boolean isFlushed() {
        return mTotals.equals(mFlushed);
    }
}
