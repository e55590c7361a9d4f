package dev.cactusspan.claim;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Claims of an environment: carries out the steps of each {@link ClaimPartition}. */
public final class ClaimService {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final int PARTITIONS = 64;
    private static final int INLINE_BYTES = 4_096;
    private static final long RETRY_MS = 500;

    private final EnvironmentId mEnvironment;
    private final KeyValueService mKeyValues;
    private final Executor mThread;
    private final LongSupplier mWallMs;
    private final Telemetry mTelemetry;
    private final String mTokenPrefix;
    private final ClaimPartition[] mPartitions = new ClaimPartition[PARTITIONS];
    private final long[] mNextTryMs = new long[PARTITIONS];
    private long mTokens;

    /**
     * Creates the service.
     *
     * @param environment the environment
     * @param keyValues where claims are stored
     * @param thread the thread of the caller, on which outcomes come
     * @param wallMs wall-clock time
     * @param telemetry metrics
     * @param tokenPrefix differs for each start of each process
     */
    public ClaimService(
            EnvironmentId environment,
            KeyValueService keyValues,
            Executor thread,
            LongSupplier wallMs,
            Telemetry telemetry,
            String tokenPrefix) {
        mEnvironment = environment;
        mKeyValues = keyValues;
        mThread = thread;
        mWallMs = wallMs;
        mTelemetry = telemetry;
        mTokenPrefix = tokenPrefix;
        for (int i = 0; i < PARTITIONS; i++) {
            mPartitions[i] = new ClaimPartition();
        }
    }

    // Operations

    /**
     * Asks for a claim.
     *
     * @param key key of the claim
     * @param digest digest of the request
     * @param runsMs how long the request may run
     * @param ttlMs how long the claim is kept
     * @param reply receives the outcome on the thread
     */
    public void ask(
            ClaimKey key, String digest, long runsMs, long ttlMs, Consumer<ClaimOutcome> reply) {
        long nowMs = mWallMs.getAsLong();
        String token = mTokenPrefix + "-" + mTokens++;
        Claim claim = new Claim(digest, token, nowMs + runsMs, nowMs + ttlMs, null);
        int partition = key.partition(PARTITIONS);
        mPartitions[partition].ask(key, claim, outcome -> answered(outcome, reply));
        step(partition);
    }

    private void answered(ClaimOutcome outcome, Consumer<ClaimOutcome> reply) {
        mTelemetry.count("claims_total", "outcome", outcome.getClass().getSimpleName());
        reply.accept(outcome);
    }

    /**
     * Stores the answer of a claimed request; a large body gets a key of its own first.
     *
     * @param key key of the claim
     * @param token names the attempt that was granted
     * @param answer the answer, with its body
     */
    public void answer(ClaimKey key, String token, StoredAnswer answer) {
        if (answer.body().length <= INLINE_BYTES) {
            finish(key, token, answer);
            return;
        }
        StoredAnswer pointer =
                new StoredAnswer(answer.status(), answer.contentType(), new byte[0], true);
        FutureResults.deliver(
                mKeyValues.compareAndSwap(bodyKey(key), 0, answer.body()),
                mThread,
                r -> bodyWritten(r, key, token, pointer));
    }

    private void bodyWritten(
            Result<Long> result, ClaimKey key, String token, StoredAnswer pointer) {
        if (result.isOk()) {
            finish(key, token, pointer);
            return;
        }
        sLog.atWarning().log("an answer is not kept for repeats: %s", result);
    }

    private void finish(ClaimKey key, String token, StoredAnswer answer) {
        int partition = key.partition(PARTITIONS);
        mPartitions[partition].answer(key, token, answer);
        step(partition);
    }

    /**
     * Drops a claim whose request is proved not to have run.
     *
     * @param key key of the claim
     * @param token names the attempt
     */
    public void release(ClaimKey key, String token) {
        int partition = key.partition(PARTITIONS);
        mPartitions[partition].release(key, token);
        step(partition);
    }

    /**
     * Reads the body of an answer that has a key of its own.
     *
     * @param key key of the claim
     * @param reply receives the body or {@code platform_unavailable}, on the thread
     */
    public void body(ClaimKey key, Consumer<Result<byte[]>> reply) {
        FutureResults.deliver(
                mKeyValues.get(bodyKey(key)),
                mThread,
                r -> reply.accept(r.flatMap(ClaimService::present)));
    }

    private static Result<byte[]> present(Optional<KeyValueService.Entry> entry) {
        return entry.map(e -> Result.of(e.value()))
                .orElse(Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, "the answer is not stored"));
    }

    /** Retries what failed; called regularly on the thread. */
    public void tick() {
        long nowMs = mWallMs.getAsLong();
        for (int i = 0; i < PARTITIONS; i++) {
            if (mPartitions[i].isPending() && nowMs >= mNextTryMs[i]) {
                step(i);
            }
        }
    }

    private void step(int index) {
        ClaimPartition partition = mPartitions[index];
        partition.next(mWallMs.getAsLong()).ifPresent(step -> carryOut(index, partition, step));
    }

    private void carryOut(int index, ClaimPartition partition, ClaimPartition.Step step) {
        if (step instanceof ClaimPartition.Step.Write write) {
            mTelemetry.count("claim_writes_total");
            FutureResults.deliver(
                    mKeyValues.compareAndSwap(key(index), write.expectedVersion(), write.value()),
                    mThread,
                    r -> written(index, partition, r));
            return;
        }
        mTelemetry.count("claim_reads_total");
        FutureResults.deliver(mKeyValues.get(key(index)), mThread, r -> read(index, partition, r));
    }

    private void written(int index, ClaimPartition partition, Result<Long> result) {
        partition.onWritten(result, mWallMs.getAsLong());
        step(index);
    }

    private void read(
            int index, ClaimPartition partition, Result<Optional<KeyValueService.Entry>> result) {
        partition.onRead(result, mWallMs.getAsLong());
        if (result.isOk()) {
            step(index);
            return;
        }
        mNextTryMs[index] = mWallMs.getAsLong() + RETRY_MS;
    }

    private String key(int partition) {
        return "claims/" + mEnvironment + "/" + partition;
    }

    private String bodyKey(ClaimKey key) {
        return "claim-answers/" + mEnvironment + "/" + key.text();
    }
}
