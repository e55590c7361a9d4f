package dev.cactusspan.entry;

import com.google.common.hash.Hashing;
import dev.cactusspan.claim.ClaimKey;
import dev.cactusspan.claim.ClaimOutcome;
import dev.cactusspan.claim.ClaimService;
import dev.cactusspan.claim.StoredResponse;
import dev.cactusspan.config.Configuration;
import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Obtains claims for at-most-once requests and replays the stored responses of repeated ones. */
final class ClaimManager {
    private static final long CLAIM_MARGIN_MS = 5_000;
    private static final long IN_PROGRESS_WAIT_MS = 2_000;
    private static final long IN_PROGRESS_POLL_MS = 200;
    private static final long MS_PER_S = 1_000;

    private final ClaimService mClaims;
    private final Listener mListener;
    private final Supplier<Configuration> mConfiguration;
    private final LongSupplier mNowMs;
    private final Map<PendingRequest, ClaimRecorder> mRecorders = new HashMap<>();

    ClaimManager(
            ClaimService claims,
            Listener listener,
            Supplier<Configuration> configuration,
            LongSupplier nowMs) {
        mClaims = claims;
        mListener = listener;
        mConfiguration = configuration;
        mNowMs = nowMs;
    }

    // Operations

    void requestClaim(PendingRequest request) {
        request.apply(RequestEvent.CLAIM);
        RequestSpec spec = request.spec();
        long ttlMs = mConfiguration.get().document().bounds().claimTtlS() * MS_PER_S;
        mClaims.acquire(
                key(spec),
                digest(spec),
                spec.deadlineMs() + CLAIM_MARGIN_MS,
                ttlMs,
                outcome -> onOutcome(request, outcome));
    }

    private static ClaimKey key(RequestSpec spec) {
        return ClaimKey.of(spec.account(), spec.route().name(), spec.idempotencyKey());
    }

    private static String digest(RequestSpec spec) {
        return Hashing.sha256()
                .newHasher()
                .putUnencodedChars(spec.method())
                .putUnencodedChars(spec.path())
                .putBytes(spec.body())
                .hash()
                .toString();
    }

    private void onOutcome(PendingRequest request, ClaimOutcome outcome) {
        if (outcome instanceof ClaimOutcome.Granted granted) {
            onGranted(request, granted.token());
            return;
        }
        if (request.isFinished()) {
            return;
        }
        if (outcome instanceof ClaimOutcome.Repeated repeated) {
            replayResponse(request, repeated.response());
        } else if (outcome instanceof ClaimOutcome.Unknown unknown) {
            queryTarget(request, unknown.token());
        } else if (outcome instanceof ClaimOutcome.Refused refused) {
            onRefused(request, refused.failure());
        }
    }

    private void onGranted(PendingRequest request, String token) {
        if (request.isFinished()) {
            mClaims.release(key(request.spec()), token);
            return;
        }
        request.markClaimed();
        request.apply(RequestEvent.GRANT);
        mRecorders.put(request, new ClaimRecorder(mClaims, key(request.spec()), token));
        mListener.granted(request);
    }

    /**
     * Retries for a short time, as the first request with this key may be about to end and its
     * response can then be replayed.
     */
    private void onRefused(PendingRequest request, Failure failure) {
        boolean isInProgress = failure.kind() == ErrorKind.CLAIM_IN_PROGRESS;
        if (!isInProgress || mNowMs.getAsLong() - request.arrivedMs() >= IN_PROGRESS_WAIT_MS) {
            mListener.refused(request, failure);
            return;
        }
        request.setClaimRetryAtMs(mNowMs.getAsLong() + IN_PROGRESS_POLL_MS);
    }

    private void replayResponse(PendingRequest request, StoredResponse response) {
        if (!response.detached()) {
            mListener.repeated(request, response);
            return;
        }
        mClaims.readBody(key(request.spec()), body -> replayResponse(request, response, body));
    }

    private void replayResponse(
            PendingRequest request, StoredResponse response, Result<byte[]> body) {
        if (request.isFinished()) {
            return;
        }
        body.fold(
                failure -> {
                    mListener.refused(request, unknownOutcome(failure.detail()));
                    return null;
                },
                bytes -> {
                    mListener.repeated(request, response.withBody(bytes));
                    return null;
                });
    }

    /** Queries the target whether a request of unknown outcome has run; never runs it again. */
    private void queryTarget(PendingRequest request, String token) {
        String path = request.spec().route().statusCheckPath();
        if (path.isEmpty()) {
            mListener.refused(
                    request, unknownOutcome("an earlier request with this key has no answer"));
            return;
        }
        ClaimRecorder recorder = new ClaimRecorder(mClaims, key(request.spec()), token);
        StatusCheck sink =
                new StatusCheck(
                        response -> {
                            recorder.store(response);
                            onStatusResponse(request, response);
                        },
                        reason -> mListener.refused(request, unknownOutcome(reason)));
        mListener.sendStatusCheck(StatusCheck.spec(request.spec(), path), sink);
    }

    private void onStatusResponse(PendingRequest request, StoredResponse response) {
        if (!request.isFinished()) {
            mListener.repeated(request, response);
        }
    }

    static Failure unknownOutcome(String detail) {
        return Failure.of(ErrorKind.OUTCOME_UNKNOWN, detail);
    }

    void forget(PendingRequest request) {
        mRecorders.remove(request);
    }

    // Accessors

    Optional<ClaimRecorder> recorder(PendingRequest request) {
        return Optional.ofNullable(mRecorders.get(request));
    }

    /** Receives the outcomes of claims, and sends status checks. */
    interface Listener {
        /** Called when the claim is durable and the request may be dispatched. */
        void granted(PendingRequest request);

        /** Called with the first response of a request that has run before. */
        void repeated(PendingRequest request, StoredResponse response);

        /** Called when the request cannot continue. */
        void refused(PendingRequest request, Failure failure);

        /** Sends a status check, a request that the entry itself makes to a target. */
        void sendStatusCheck(RequestSpec spec, ResponseSink sink);
    }
}
