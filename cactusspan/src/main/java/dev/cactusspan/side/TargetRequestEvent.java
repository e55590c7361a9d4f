package dev.cactusspan.side;

/** Events of a request at a side process. */
enum TargetRequestEvent {
    /** The request was taken from the queue and sent to the target. */
    DISPATCH,
    /** Status and headers of the response were received. */
    HEAD,
    /** The complete response was received. */
    END,
    /** The request was evicted, expired or drained in the queue, or could not be sent. */
    REFUSE,
    /** The target failed, or its response was interrupted. */
    FAIL,
    /** The entry cancelled the request. */
    CANCEL
}
