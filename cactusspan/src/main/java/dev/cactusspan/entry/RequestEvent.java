package dev.cactusspan.entry;

/** Events of a request at an entry. */
enum RequestEvent {
    /** A claim was requested. */
    CLAIM,
    /** The claim was granted. */
    GRANT,
    /** The request was sent to a side process. */
    DISPATCH,
    /** The response started. */
    HEAD,
    /** The complete response was received. */
    END,
    /** The request returned to waiting, for another attempt. */
    RETRY,
    /** The request ended with a failure, or with the response of an earlier request. */
    FAIL
}
