package dev.cactusspan.result;

import java.util.Locale;

/** The closed list of error kinds; {@link ErrorTable} maps each to its answer. */
public enum ErrorKind {
    /** The request is malformed. */
    BAD_REQUEST,
    /** No valid key came with the request. */
    UNAUTHENTICATED,
    /** The client account may not use the route. */
    FORBIDDEN,
    /** No route, document or step of that name. */
    NOT_FOUND,
    /** A body, header or frame is over its bound. */
    PAYLOAD_TOO_LARGE,
    /** The route needs an idempotency key. */
    IDEMPOTENCY_KEY_REQUIRED,
    /** The idempotency key came earlier with another body. */
    IDEMPOTENCY_KEY_REUSED,
    /** The client account is over its limit. */
    OVER_LIMIT,
    /** A queue is full. */
    OVERLOADED,
    /** No target can take the request. */
    NO_TARGET,
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
    /** The answer was cut before its end. */
    ANSWER_CUT,
    /** The key was withdrawn while the request ran. */
    KEY_WITHDRAWN,
    /** The stored revision differs from the expected one. */
    CONFLICT,
    /** The platform did not answer. */
    PLATFORM_UNAVAILABLE,
    /** A fault of the system itself. */
    INTERNAL;

    /**
     * Returns the name that callers, logs and the table use.
     *
     * @return the name in lower case with underscores
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
