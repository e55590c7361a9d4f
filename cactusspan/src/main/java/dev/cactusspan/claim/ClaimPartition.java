package dev.cactusspan.claim;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import dev.cactusspan.platform.KeyValueService;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import dev.cactusspan.text.JsonText;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The claims of one partition. Operations that arrive during a write wait and are combined into the
 * next write. A claim is granted only after it has been seen in the key-value service with the
 * token of this attempt: after a write with a lost response, the partition is read again before any
 * operation is resolved. A read that shows no trace of such a write does not prove that there will
 * be none: while the version is the one that the write expects, it may still be carried out. A
 * release then waits for a further write, which either takes effect or shows that the version has
 * changed.
 *
 * <p>The class performs no I/O: the caller executes the step returned by {@link #nextStep} and
 * reports its outcome to {@link #onRead} or {@link #onWritten}.
 */
public final class ClaimPartition {
    private static final int MAX_WAITING = 4_096;
    private static final long WRITE_INTERVAL_MS = 50;
    private static final long COMPLETION_INTERVAL_MS = 200;
    private static final int MAX_RECORD_BYTES = 900_000;
    private static final long NO_VERSION = -1;

    private final Deque<ClaimOperation> mWaiting = new ArrayDeque<>();
    private List<ClaimOperation> mBatch = List.of();
    private Map<ClaimKey, Claim> mClaims = new TreeMap<>();
    private Map<ClaimKey, Claim> mProposed = Map.of();
    private long mVersion;
    private long mOpenWriteVersion = NO_VERSION;
    private boolean mIsLoaded;
    private boolean mIsBusy;
    private boolean mIsContended;
    private long mWrittenMs;

    // Operations

    /**
     * Acquires a claim.
     *
     * @param key key of the claim
     * @param claim the claim, whose token identifies this attempt
     * @param callback receives the outcome
     */
    public void acquire(ClaimKey key, Claim claim, Consumer<ClaimOutcome> callback) {
        if (mWaiting.size() >= MAX_WAITING) {
            callback.accept(refused(ErrorKind.OVERLOADED, "too many claims wait"));
            return;
        }
        Claim cached = mClaims.get(key);
        if (cached != null && !cached.isAnswered() && !mIsBusy) {
            // The cached claim may be outdated: its response may have been stored since.
            mIsLoaded = false;
        }
        mWaiting.add(new ClaimOperation.Acquire(key, claim, callback));
    }

    /**
     * Stores the response to a claimed request.
     *
     * @param key key of the claim
     * @param token identifies the attempt that was granted the claim
     * @param response the response
     */
    public void complete(ClaimKey key, String token, StoredResponse response) {
        mWaiting.add(new ClaimOperation.Complete(key, token, response));
    }

    /**
     * Removes a claim whose request is proved not to have run.
     *
     * @param key key of the claim
     * @param token identifies the attempt
     */
    public void release(ClaimKey key, String token) {
        mWaiting.add(new ClaimOperation.Release(key, token));
    }

    /**
     * Returns the next step to execute at the key-value service.
     *
     * @param nowMs wall-clock time, in milliseconds
     * @return a step, empty if one is in progress or nothing is due
     */
    public Optional<Step> nextStep(long nowMs) {
        if (mIsBusy || (mWaiting.isEmpty() && mBatch.isEmpty()) || isDelayed(nowMs)) {
            return Optional.empty();
        }
        mBatch = drainWaiting();
        if (!mIsLoaded) {
            mIsBusy = true;
            return Optional.of(new Step.Read());
        }
        Map<ClaimKey, Claim> claims = new TreeMap<>(mClaims);
        claims.values().removeIf(c -> c.expiresMs() <= nowMs);
        mBatch.forEach(operation -> apply(operation, claims));
        if (claims.equals(mClaims) && !mustSettleOpenWrite()) {
            resolveBatch(nowMs);
            return Optional.empty();
        }
        byte[] value = JsonText.write(new Stored(claims));
        if (value.length > MAX_RECORD_BYTES) {
            fail(ErrorKind.OVERLOADED, "claims of the partition are over their bound");
            return nextStep(nowMs);
        }
        mProposed = claims;
        mIsBusy = true;
        return Optional.of(new Step.Write(mVersion, value));
    }

    /**
     * Delays writes so that operations can be combined: acquires briefly after a write, responses
     * and releases for longer.
     */
    private boolean isDelayed(long nowMs) {
        if (nowMs < mWrittenMs + WRITE_INTERVAL_MS) {
            return true;
        }
        boolean hasAcquire =
                mWaiting.stream().anyMatch(ClaimOperation.Acquire.class::isInstance)
                        || mBatch.stream().anyMatch(ClaimOperation.Acquire.class::isInstance);
        return !hasAcquire && nowMs < mWrittenMs + COMPLETION_INTERVAL_MS;
    }

    private List<ClaimOperation> drainWaiting() {
        List<ClaimOperation> batch = new ArrayList<>(mBatch);
        batch.addAll(mWaiting);
        mWaiting.clear();
        return batch;
    }

    private static void apply(ClaimOperation operation, Map<ClaimKey, Claim> claims) {
        Claim present = claims.get(operation.key());
        if (operation instanceof ClaimOperation.Acquire acquire) {
            claims.putIfAbsent(acquire.key(), acquire.claim());
            return;
        }
        if (present == null || present.isAnswered()) {
            return;
        }
        if (operation instanceof ClaimOperation.Complete complete
                && present.token().equals(complete.token())) {
            claims.put(complete.key(), present.withResponse(complete.response()));
        }
        if (operation instanceof ClaimOperation.Release release
                && present.token().equals(release.token())) {
            claims.remove(release.key());
        }
    }

    /**
     * Handles the outcome of a read.
     *
     * @param result the entry as read, empty if there is none
     * @param nowMs wall-clock time, in milliseconds
     */
    public void onRead(Result<Optional<KeyValueService.Entry>> result, long nowMs) {
        mIsBusy = false;
        Result<Loaded> loaded =
                result.flatMap(entry -> entry.map(ClaimPartition::load).orElse(Loaded.none()));
        loaded.fold(
                failure -> {
                    fail(ErrorKind.CLAIM_UNAVAILABLE, failure.detail());
                    return null;
                },
                value -> {
                    mIsLoaded = true;
                    mIsContended &= value.version() != mVersion;
                    mVersion = value.version();
                    mClaims = value.claims();
                    resolveBatch(nowMs);
                    return null;
                });
    }

    private static Result<Loaded> load(KeyValueService.Entry entry) {
        return JsonText.read(entry.value(), Stored.class)
                .map(s -> new Loaded(entry.version(), new TreeMap<>(s.claims())));
    }

    /**
     * Handles the outcome of a write.
     *
     * @param result the new version, {@code conflict}, or a failure after which the outcome is
     *     unknown
     * @param nowMs wall-clock time, in milliseconds
     */
    public void onWritten(Result<Long> result, long nowMs) {
        mIsBusy = false;
        result.fold(
                failure -> {
                    mIsLoaded = false;
                    if (failure.kind() == ErrorKind.CONFLICT) {
                        mIsContended = true;
                    } else {
                        mOpenWriteVersion = mVersion;
                    }
                    return null;
                },
                version -> {
                    // If other processes write as well, the cache is likely to be outdated by the
                    // next write.
                    mIsLoaded = !mIsContended;
                    mWrittenMs = nowMs;
                    mVersion = version;
                    mClaims = mProposed;
                    resolveBatch(nowMs);
                    return null;
                });
    }

    /**
     * Resolves each operation of the batch that the stored claims decide; the others stay in the
     * batch.
     */
    private void resolveBatch(long nowMs) {
        List<ClaimOperation> open = new ArrayList<>();
        Set<ClaimKey> openKeys = new HashSet<>();
        for (ClaimOperation operation : mBatch) {
            boolean isAfterOpen = openKeys.contains(operation.key());
            if (isAfterOpen || !tryResolve(operation, nowMs)) {
                open.add(operation);
                openKeys.add(operation.key());
            }
        }
        mBatch = open;
    }

    private boolean tryResolve(ClaimOperation operation, long nowMs) {
        Claim present = mClaims.get(operation.key());
        if (operation instanceof ClaimOperation.Acquire acquire) {
            if (present == null) {
                return false;
            }
            acquire.callback().accept(outcome(acquire.claim(), present, nowMs));
            return true;
        }
        if (operation instanceof ClaimOperation.Complete complete) {
            boolean isOwnClaim = present != null && present.token().equals(complete.token());
            return !isOwnClaim || present.isAnswered();
        }
        if (operation instanceof ClaimOperation.Release release) {
            boolean isOwnClaim = present != null && present.token().equals(release.token());
            return isOwnClaim ? present.isAnswered() : !isWriteOpen();
        }
        return true;
    }

    private boolean mustSettleOpenWrite() {
        return isWriteOpen() && mBatch.stream().anyMatch(ClaimOperation.Release.class::isInstance);
    }

    /** Tells whether a write with a lost response may still be carried out. */
    private boolean isWriteOpen() {
        return mOpenWriteVersion == mVersion;
    }

    private static ClaimOutcome outcome(Claim requested, Claim present, long nowMs) {
        if (present.token().equals(requested.token())) {
            return new ClaimOutcome.Granted(requested.token());
        }
        if (!present.digest().equals(requested.digest())) {
            return refused(
                    ErrorKind.IDEMPOTENCY_KEY_REUSED, "the key came earlier with another request");
        }
        if (present.isAnswered()) {
            return new ClaimOutcome.Repeated(present.answer());
        }
        if (present.runsUntilMs() > nowMs) {
            return refused(ErrorKind.CLAIM_IN_PROGRESS, "a request with this key is in progress");
        }
        return new ClaimOutcome.Unknown(present.token());
    }

    /**
     * Refuses all acquires of the batch; their claims may have been written, so they are released
     * later.
     */
    private void fail(ErrorKind kind, String detail) {
        List<ClaimOperation> kept = new ArrayList<>();
        for (ClaimOperation operation : mBatch) {
            if (operation instanceof ClaimOperation.Acquire acquire) {
                acquire.callback().accept(refused(kind, detail));
                kept.add(new ClaimOperation.Release(acquire.key(), acquire.claim().token()));
                continue;
            }
            kept.add(operation);
        }
        mBatch = kept.size() > MAX_WAITING ? kept.subList(0, MAX_WAITING) : kept;
    }

    private static ClaimOutcome refused(ErrorKind kind, String detail) {
        return new ClaimOutcome.Refused(Failure.of(kind, detail));
    }

    // Accessors

    /**
     * Tells whether operations are pending.
     *
     * @return true if a step is required
     */
    public boolean isPending() {
        return !mWaiting.isEmpty() || !mBatch.isEmpty();
    }

    /** A step to execute at the key-value service. */
    public sealed interface Step {
        /** Reads the partition's key. */
        record Read() implements Step {}

        /**
         * Writes the partition's key if its version is unchanged.
         *
         * @param expectedVersion the version to replace
         * @param value the new value
         */
        record Write(long expectedVersion, byte[] value) implements Step {}
    }

    private record Stored(Map<ClaimKey, Claim> claims) {
        @JsonCreator
        Stored(@JsonProperty("claims") Map<ClaimKey, Claim> claims) {
            this.claims = claims == null ? Map.of() : claims;
        }
    }

    private record Loaded(long version, Map<ClaimKey, Claim> claims) {
        static Result<Loaded> none() {
            return Result.of(new Loaded(0, new TreeMap<>()));
        }
    }
}
