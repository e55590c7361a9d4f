package dev.cactusspan.entry;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.config.Configuration;
import dev.cactusspan.id.DutyId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.FencingNumber;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.platform.UsageInterface;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import dev.cactusspan.usage.SealedUsage;
import dev.cactusspan.usage.UsageReport;
import dev.cactusspan.usage.UsageShard;
import dev.cactusspan.usage.UsageTotals;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Seals usage windows and sends their reports. */
final class UsageDuty implements Duty {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final long CHECK_INTERVAL_MS = 1_000;
    private static final long SEAL_GRACE_MS = 5_000;
    private static final long MS_PER_S = 1_000;

    private final EnvironmentId mEnvironment;
    private final KeyValueService mKeyValues;
    private final UsageInterface mUsage;
    private final Executor mThread;
    private final LongSupplier mWallMs;
    private final Supplier<Configuration> mConfiguration;
    private boolean mIsBusy;
    private long mNextCheckMs;

    UsageDuty(
            EnvironmentId environment,
            KeyValueService keyValues,
            UsageInterface usage,
            Executor thread,
            LongSupplier wallMs,
            Supplier<Configuration> configuration) {
        mEnvironment = environment;
        mKeyValues = keyValues;
        mUsage = usage;
        mThread = thread;
        mWallMs = wallMs;
        mConfiguration = configuration;
    }

    @Override
    public DutyId id() {
        return DutyId.USAGE;
    }

    @Override
    public void tick(Held held, long nowMs) {
        if (mIsBusy || nowMs < mNextCheckMs) {
            return;
        }
        mNextCheckMs = nowMs + CHECK_INTERVAL_MS;
        mIsBusy = true;
        FutureResults.deliver(mKeyValues.get(key()), mThread, r -> onRead(held, r));
    }

    static String key(EnvironmentId environment) {
        return "usage/" + environment + "/sealed";
    }

    private String key() {
        return key(mEnvironment);
    }

    private void onRead(Held held, Result<Optional<KeyValueService.Entry>> result) {
        Result<Stored> stored = result.flatMap(UsageDuty::stored);
        if (!stored.isOk() || held.fencingNumber().isEmpty()) {
            mIsBusy = false;
            return;
        }
        SealedUsage windows = stored.get().windows();
        if (!windows.unsent().isEmpty()) {
            send(held, stored.get(), windows.unsent().get(0));
            return;
        }
        long window = lastEndedWindow();
        if (!windows.isSealable(window)) {
            mIsBusy = false;
            return;
        }
        sumShards(held, stored.get(), window, 0, UsageTotals.EMPTY);
    }

    private static Result<Stored> stored(Optional<KeyValueService.Entry> entry) {
        if (entry.isEmpty()) {
            return Result.of(new Stored(0, SealedUsage.NONE));
        }
        return JsonText.read(entry.get().value(), SealedUsage.class)
                .map(windows -> new Stored(entry.get().version(), windows));
    }

    private long lastEndedWindow() {
        long windowMs = mConfiguration.get().document().bounds().usageWindowS() * MS_PER_S;
        return (mWallMs.getAsLong() - SEAL_GRACE_MS) / windowMs - 1;
    }

    /** Sums the shards one after another, then seals the window. */
    private void sumShards(Held held, Stored stored, long window, int shard, UsageTotals sum) {
        if (shard == UsageMeter.SHARDS) {
            seal(held, stored, window, sum);
            return;
        }
        FutureResults.deliver(
                mKeyValues.get(UsageMeter.key(mEnvironment, shard)),
                mThread,
                r -> {
                    Result<UsageTotals> totals = r.flatMap(UsageDuty::totals);
                    if (!totals.isOk()) {
                        mIsBusy = false;
                        return;
                    }
                    sumShards(held, stored, window, shard + 1, sum.plus(totals.get()));
                });
    }

    private static Result<UsageTotals> totals(Optional<KeyValueService.Entry> entry) {
        return entry.map(e -> JsonText.read(e.value(), UsageShard.class).map(UsageShard::total))
                .orElse(Result.of(UsageTotals.EMPTY));
    }

    private void seal(Held held, Stored stored, long window, UsageTotals totals) {
        if (held.fencingNumber().isEmpty()) {
            mIsBusy = false;
            return;
        }
        SealedUsage windows = stored.windows().seal(mEnvironment, window, totals);
        write(stored.version(), windows);
    }

    private void send(Held held, Stored stored, UsageReport report) {
        byte[] body = JsonText.write(report);
        Optional<FencingNumber> fencing = held.fencingNumber();
        if (fencing.isEmpty()) {
            mIsBusy = false;
            return;
        }
        CompletableFuture<Result<Boolean>> sent = mUsage.send(body, fencing.get());
        FutureResults.deliver(sent, mThread, r -> onSent(stored, report, r));
    }

    private void onSent(Stored stored, UsageReport report, Result<Boolean> result) {
        if (!result.getOrElse(false)) {
            mIsBusy = false;
            return;
        }
        sLog.atInfo().log("reported usage window %d", report.window());
        write(stored.version(), stored.windows().withoutReport(report.window()));
    }

    private void write(long version, SealedUsage windows) {
        FutureResults.deliver(
                mKeyValues.compareAndSwap(key(), version, JsonText.write(windows)),
                mThread,
                r -> mIsBusy = false);
    }

    private record Stored(long version, SealedUsage windows) {}
}
