package dev.cactusspan.result;

import java.util.Locale;

/**
 * The closed list of error kinds; {@link ErrorTable} maps each to an HTTP status and retry rule.
 */
public enum ErrorKind {
    /** The request is malformed. */
    BAD_REQUEST,
    /** The request has no valid key. */
    UNAUTHENTICATED,
    /** The client account may not use the route. */
    FORBIDDEN,
    /** There is no route, document or step of that name. */
    NOT_FOUND,
    /** A body, header or frame exceeds its size limit. */
    PAYLOAD_TOO_LARGE,
    /** The route needs an idempotency key. */
    IDEMPOTENCY_KEY_REQUIRED,
    /** The idempotency key was used before with a different body. */
    IDEMPOTENCY_KEY_REUSED,
    /** The client account has exceeded its limit. */
    OVER_LIMIT,
    /** A queue is full. */
    OVERLOADED,
    /** No target can accept the request. */
    NO_TARGET,
    /** No target in the regions to which the request is bound accepts work. */
    NO_TARGET_IN_REGION,
    /** The request crashed several targets and is not run any more for a while. */
    REQUEST_QUARANTINED,
    /** The request resumes a stream of which it is not known where it began. */
    STREAM_ORIGIN_UNKNOWN,
    /** The process is shutting down. */
    SHUTTING_DOWN,
    /** The process cannot know whether its configuration is current. */
    CONFIGURATION_STALE,
    /** The key-value service did not record the claim. */
    CLAIM_UNAVAILABLE,
    /** A request with the same idempotency key is running. */
    CLAIM_IN_PROGRESS,
    /** The request was dispatched and its outcome cannot be known. */
    OUTCOME_UNKNOWN,
    /** The deadline passed before dispatch. */
    DEADLINE_BEFORE_DISPATCH,
    /** The deadline passed after dispatch. */
    DEADLINE_EXCEEDED,
    /** The target failed during the request. */
    TARGET_FAILED,
    /** The response was truncated. */
    ANSWER_CUT,
    /** The key was withdrawn while the request was running. */
    KEY_WITHDRAWN,
    /** The stored revision differs from the expected one. */
    CONFLICT,
    /** The platform did not respond. */
    PLATFORM_UNAVAILABLE,
    /** Internal error. */
    INTERNAL;

    /**
     * Returns the name used in responses, logs and the error table.
     *
     * @return the name in lower case, with underscores
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
