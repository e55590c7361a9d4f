package dev.cactusspan.claim;

import com.google.common.flogger.FluentLogger;
import dev.cactusspan.id.EnvironmentId;
import dev.cactusspan.observe.Telemetry;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.FutureResults;
import dev.cactusspan.result.Result;
import dev.cactusspan.time.WallClock;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * The claims of an environment: executes the steps of each {@link ClaimPartition} at the key-value
 * service.
 */
public final class ClaimService {
    private static final FluentLogger sLog = FluentLogger.forEnclosingClass();
    private static final int PARTITIONS = 64;
    private static final int INLINE_BYTES = 4_096;
    private static final long RETRY_MS = 500;

    private final EnvironmentId mEnvironment;
    private final KeyValueService mKeyValues;
    private final Executor mThread;
    private final WallClock mWallClock;
    private final Telemetry mTelemetry;
    private final String mTokenPrefix;
    private final ClaimPartition[] mPartitions = new ClaimPartition[PARTITIONS];
    private final long[] mNextTryMs = new long[PARTITIONS];
    private long mTokenCount;

    /**
     * Creates the service.
     *
     * @param environment the environment
     * @param keyValues the key-value service that stores the claims
     * @param thread executor of the caller's thread, on which outcomes are reported
     * @param wallClock the time of day
     * @param telemetry metrics
     * @param tokenPrefix prefix of claim tokens, unique to each start of each process
     */
    public ClaimService(
            EnvironmentId environment,
            KeyValueService keyValues,
            Executor thread,
            WallClock wallClock,
            Telemetry telemetry,
            String tokenPrefix) {
        mEnvironment = environment;
        mKeyValues = keyValues;
        mThread = thread;
        mWallClock = wallClock;
        mTelemetry = telemetry;
        mTokenPrefix = tokenPrefix;
        for (int i = 0; i < PARTITIONS; i++) {
            mPartitions[i] = new ClaimPartition();
        }
    }

    // Operations

    /**
     * Acquires a claim.
     *
     * @param key key of the claim
     * @param digest digest of the request
     * @param runsMs maximum time that the request may run, in milliseconds
     * @param ttlMs how long the claim is kept, in milliseconds
     * @param callback receives the outcome, on the caller's thread
     */
    public void acquire(
            ClaimKey key, String digest, long runsMs, long ttlMs, Consumer<ClaimOutcome> callback) {
        long nowMs = mWallClock.wallMs();
        String token = mTokenPrefix + "-" + mTokenCount++;
        Claim claim = new Claim(digest, token, nowMs + runsMs, nowMs + ttlMs, null);
        int partition = key.partition(PARTITIONS);
        mPartitions[partition].acquire(key, claim, outcome -> onOutcome(outcome, callback));
        advance(partition);
    }

    private void onOutcome(ClaimOutcome outcome, Consumer<ClaimOutcome> callback) {
        mTelemetry.count("claims_total", "outcome", outcome.getClass().getSimpleName());
        callback.accept(outcome);
    }

    /**
     * Stores the response to a claimed request; a large body is first stored under its own key.
     *
     * @param key key of the claim
     * @param token identifies the attempt that was granted the claim
     * @param response the response, with its body
     */
    public void complete(ClaimKey key, String token, StoredResponse response) {
        if (response.body().length <= INLINE_BYTES) {
            submitCompletion(key, token, response);
            return;
        }
        StoredResponse pointer =
                new StoredResponse(response.status(), response.contentType(), new byte[0], true);
        FutureResults.deliver(
                mKeyValues.compareAndSwap(bodyKey(key), 0, response.body()),
                mThread,
                r -> onBodyWritten(r, key, token, pointer));
    }

    private void onBodyWritten(
            Result<Long> result, ClaimKey key, String token, StoredResponse pointer) {
        if (result.isOk()) {
            submitCompletion(key, token, pointer);
            return;
        }
        sLog.atWarning().log(
                "response body was not stored, so repeated requests will not receive it: %s",
                result);
    }

    private void submitCompletion(ClaimKey key, String token, StoredResponse response) {
        int partition = key.partition(PARTITIONS);
        mPartitions[partition].complete(key, token, response);
        advance(partition);
    }

    /**
     * Removes a claim whose request is proved not to have run.
     *
     * @param key key of the claim
     * @param token identifies the attempt
     */
    public void release(ClaimKey key, String token) {
        int partition = key.partition(PARTITIONS);
        mPartitions[partition].release(key, token);
        advance(partition);
    }

    /**
     * Reads the body of a response that is stored under its own key.
     *
     * @param key key of the claim
     * @param callback receives the body or {@code platform_unavailable}, on the caller's thread
     */
    public void readBody(ClaimKey key, Consumer<Result<byte[]>> callback) {
        FutureResults.deliver(
                mKeyValues.get(bodyKey(key)),
                mThread,
                r -> callback.accept(r.flatMap(ClaimService::storedBody)));
    }

    private static Result<byte[]> storedBody(Optional<KeyValueService.Entry> entry) {
        return entry.map(e -> Result.of(e.value()))
                .orElse(Result.fail(ErrorKind.PLATFORM_UNAVAILABLE, "the answer is not stored"));
    }

    /** Retries failed steps; called periodically on the caller's thread. */
    public void tick() {
        long nowMs = mWallClock.wallMs();
        for (int i = 0; i < PARTITIONS; i++) {
            if (mPartitions[i].isPending() && nowMs >= mNextTryMs[i]) {
                advance(i);
            }
        }
    }

    private void advance(int index) {
        ClaimPartition partition = mPartitions[index];
        partition.nextStep(mWallClock.wallMs()).ifPresent(step -> execute(index, partition, step));
    }

    private void execute(int index, ClaimPartition partition, ClaimPartition.Step step) {
        if (step instanceof ClaimPartition.Step.Write write) {
            mTelemetry.count("claim_writes_total");
            FutureResults.deliver(
                    mKeyValues.compareAndSwap(key(index), write.expectedVersion(), write.value()),
                    mThread,
                    r -> onWritten(index, partition, r));
            return;
        }
        mTelemetry.count("claim_reads_total");
        FutureResults.deliver(
                mKeyValues.get(key(index)), mThread, r -> onRead(index, partition, r));
    }

    private void onWritten(int index, ClaimPartition partition, Result<Long> result) {
        partition.onWritten(result, mWallClock.wallMs());
        advance(index);
    }

    private void onRead(
            int index, ClaimPartition partition, Result<Optional<KeyValueService.Entry>> result) {
        partition.onRead(result, mWallClock.wallMs());
        if (result.isOk()) {
            advance(index);
            return;
        }
        mNextTryMs[index] = mWallClock.wallMs() + RETRY_MS;
    }

    private String key(int partition) {
        return "claims/" + mEnvironment + "/" + partition;
    }

    private String bodyKey(ClaimKey key) {
        return "claim-answers/" + mEnvironment + "/" + key.text();
    }
}
