package dev.cactusspan.side;

/** States of a request at a side process. The state chart is {@code target-request.json}. */
enum TargetRequestState {
    /** Waiting in the queue. */
    QUEUED,
    /** Sent to the target. */
    DISPATCHED,
    /** The response has started. */
    ANSWERING,
    /** The complete response was received. */
    ENDED,
    /** Refused before it was sent to the target. */
    REFUSED,
    /** Failed after it was sent to the target. */
    FAILED,
    /** Cancelled by the entry. */
    CANCELLED
}
