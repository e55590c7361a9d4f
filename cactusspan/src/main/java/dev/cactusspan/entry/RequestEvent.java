package dev.cactusspan.entry;

/** Events of a request at an entry. */
enum RequestEvent {
    /** A claim was asked for. */
    CLAIM,
    /** The claim was granted. */
    GRANT,
    /** Sent to a side process. */
    DISPATCH,
    /** The answer began. */
    HEAD,
    /** The answer ended whole. */
    END,
    /** Back to waiting for another try. */
    RETRY,
    /** Ended by a failure, or by an earlier answer. */
    FAIL
}
