package dev.cactusspan.forward;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import java.util.Optional;
import java.util.OptionalLong;

/** Decides whether a request may be sent to any target at all. */
final class SendCheck {
    private final PlannedStop mStop;
    private final CrashGuard mCrashes;

    /**
     * Creates the check.
     *
     * @param stop knows which requests end before a planned stop
     * @param crashes knows which requests crash targets
     */
    SendCheck(PlannedStop stop, CrashGuard crashes) {
        mStop = stop;
        mCrashes = crashes;
    }

    /**
     * Why a request is not sent.
     *
     * @param failure what its client is told, if it has not run
     * @param retryAfterMs when the client may come again, in milliseconds
     */
    record Refusal(Failure failure, long retryAfterMs) {}

    /** Returns why a request is not sent now, empty if it may be. */
    Optional<Refusal> refusal(ForwardedRequest pending, long nowMs) {
        if (!mStop.maySend(pending.route().name(), pending.deadlineMs(), nowMs)) {
            return refusal(
                    ErrorKind.SHUTTING_DOWN,
                    "it may not end before the process stops",
                    WaitRule.RETRY_AFTER_MS);
        }
        if (!mCrashes.hasSuspects()) {
            return Optional.empty();
        }
        OptionalLong refusedMs = mCrashes.refusedMs(pending.fingerprint(), nowMs);
        return refusedMs.isEmpty()
                ? Optional.empty()
                : refusal(
                        ErrorKind.REQUEST_QUARANTINED,
                        "the request crashed several targets",
                        refusedMs.getAsLong());
    }

    private static Optional<Refusal> refusal(ErrorKind kind, String reason, long retryAfterMs) {
        return Optional.of(new Refusal(Failure.of(kind, reason), retryAfterMs));
    }
}
