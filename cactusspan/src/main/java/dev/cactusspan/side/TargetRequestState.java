package dev.cactusspan.side;

/** States of a request at a side process; the chart is {@code target-request.json}. */
enum TargetRequestState {
    /** Waits in the queue. */
    QUEUED,
    /** Sent to the target. */
    DISPATCHED,
    /** The answer has begun. */
    ANSWERING,
    /** The answer came whole. */
    ENDED,
    /** Refused before it was sent to the target. */
    REFUSED,
    /** Failed after it was sent to the target. */
    FAILED,
    /** Cancelled by the entry. */
    CANCELLED
}
