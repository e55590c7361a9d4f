package dev.cactusspan.benchmark;

import dev.cactusspan.claim.ClaimKey;
import dev.cactusspan.claim.ClaimOutcome;
import dev.cactusspan.claim.ClaimService;
import dev.cactusspan.claim.StoredResponse;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.id.RouteId;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Result;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/**
 * Measures operations of the key-value service per claim, for rates of claims and numbers of
 * entries.
 */
final class ClaimExperiment {
    private static final double RUN_MS = 20_000;
    private static final double ONE_WAY_MS = 2.5;
    private static final double SERVICE_MS = 50;
    private static final double TICK_INTERVAL_MS = 50;
    private static final byte[] RESPONSE_BODY = new byte[64];

    private final EventLoop mLoop = new EventLoop();
    private final SplittableRandom mRandom = new SplittableRandom(1);
    private final DelayedKeyValueService mKeyValues = new DelayedKeyValueService();
    private final List<ClaimService> mEntries = new ArrayList<>();
    private final Samples mWaits = new Samples();
    private long mKeys;

    private ClaimExperiment(int entries) {
        for (int i = 0; i < entries; i++) {
            mEntries.add(
                    new ClaimService(
                            EnvironmentId.of("e"),
                            mKeyValues,
                            Runnable::run,
                            () -> (long) mLoop.nowMs(),
                            Telemetry.create(),
                            "entry-" + i));
        }
    }

    static void run(PrintStream out) {
        out.println("claims: 64 partitions, 5 ms a call, an answer stored 50 ms after its claim");
        out.printf(
                "%8s %10s %14s %14s %14s %12s%n",
                "entries", "claims/s", "writes/claim", "reads/claim", "conflicts/s", "p99 ms");
        for (int entries : new int[] {1, 4, 16, 64}) {
            for (int rate : new int[] {50, 200, 800}) {
                new ClaimExperiment(entries).report(out, entries, rate);
            }
        }
    }

    private void report(PrintStream out, int entries, int rate) {
        arrive(1_000.0 / rate);
        tick();
        mLoop.runUntil(RUN_MS);
        double claims = mWaits.size();
        out.printf(
                "%8d %10d %14.2f %14.2f %14.1f %12.0f%n",
                entries,
                rate,
                mKeyValues.mWrites / claims,
                mKeyValues.mReads / claims,
                mKeyValues.mConflicts / (RUN_MS / 1_000),
                mWaits.percentile(99));
    }

    private void tick() {
        mEntries.forEach(ClaimService::tick);
        mLoop.schedule(TICK_INTERVAL_MS, this::tick);
    }

    private void arrive(double meanMs) {
        mLoop.schedule(
                Samples.exponential(mRandom, meanMs),
                () -> {
                    claim(mEntries.get(mRandom.nextInt(mEntries.size())));
                    arrive(meanMs);
                });
    }

    private void claim(ClaimService entry) {
        ClaimKey key = ClaimKey.of(AccountId.of("a"), RouteId.of("r"), "k" + mKeys++);
        double requestedMs = mLoop.nowMs();
        entry.acquire(
                key,
                "digest",
                1_000,
                5_000,
                outcome -> {
                    mWaits.add(mLoop.nowMs() - requestedMs);
                    if (outcome instanceof ClaimOutcome.Granted granted) {
                        StoredResponse response = new StoredResponse(200, "", RESPONSE_BODY, false);
                        mLoop.schedule(
                                SERVICE_MS, () -> entry.complete(key, granted.token(), response));
                    }
                });
    }

    /** A key-value service that completes each operation after a fixed delay. */
    private final class DelayedKeyValueService implements KeyValueService {
        private final Map<String, Entry> mStored = new HashMap<>();
        private int mReads;
        private int mWrites;
        private int mConflicts;

        @Override
        public CompletableFuture<Result<Optional<Entry>>> get(String key) {
            mReads++;
            CompletableFuture<Result<Optional<Entry>>> future = new CompletableFuture<>();
            mLoop.schedule(
                    ONE_WAY_MS,
                    () -> {
                        Optional<Entry> entry = Optional.ofNullable(mStored.get(key));
                        mLoop.schedule(ONE_WAY_MS, () -> future.complete(Result.of(entry)));
                    });
            return future;
        }

        @Override
        public CompletableFuture<Result<Optional<Entry>>> watch(
                String key, long afterVersion, long waitMs) {
            return get(key);
        }

        @Override
        public CompletableFuture<Result<Long>> compareAndSwap(
                String key, long expectedVersion, byte[] value) {
            mWrites++;
            CompletableFuture<Result<Long>> future = new CompletableFuture<>();
            mLoop.schedule(
                    ONE_WAY_MS,
                    () -> {
                        Result<Long> result = swap(key, expectedVersion, value);
                        mLoop.schedule(ONE_WAY_MS, () -> future.complete(result));
                    });
            return future;
        }

        private Result<Long> swap(String key, long expectedVersion, byte[] value) {
            long current = Optional.ofNullable(mStored.get(key)).map(Entry::version).orElse(0L);
            if (current != expectedVersion) {
                mConflicts++;
                return Result.fail(ErrorKind.CONFLICT, "the key's version is another");
            }
            mStored.put(key, new Entry(expectedVersion + 1, value));
            return Result.of(expectedVersion + 1);
        }
    }
}
