package dev.cactusspan.side;

/** Events of a request at a side process. */
enum TargetRequestEvent {
    /** Taken from the queue and sent. */
    DISPATCH,
    /** Status and headers came. */
    HEAD,
    /** The answer ended whole. */
    END,
    /** Evicted, expired, or drained before it was sent. */
    REFUSE,
    /** The target failed. */
    FAIL,
    /** The entry cancelled it. */
    CANCEL
}
