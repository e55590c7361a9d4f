package dev.cactusspan.entry;

/** States of a request at an entry; the state chart is {@code request.json}. */
enum RequestState {
    /** The request was admitted and waits for a target. */
    WAITING,
    /** The request waits for its durable claim. */
    CLAIMING,
    /** The request was sent to a side process. */
    DISPATCHED,
    /** The response has started. */
    ANSWERING,
    /** The complete response was passed to the sink. */
    ENDED,
    /** The request ended with a failure, or with the response of an earlier request. */
    FAILED
}
