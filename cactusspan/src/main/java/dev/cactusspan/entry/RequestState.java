package dev.cactusspan.entry;

/** States of a request at an entry; the chart is {@code request.json}. */
enum RequestState {
    /** Admitted, waits for a target. */
    WAITING,
    /** Waits for its durable claim. */
    CLAIMING,
    /** Sent to a side process. */
    DISPATCHED,
    /** The answer has begun. */
    ANSWERING,
    /** The whole answer was handed over. */
    ENDED,
    /** Ended by a failure. */
    FAILED
}
