package dev.cactusspan.fleet;

/** What may be done with the requests of a route. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,
    /** A request runs at most once. */
    NON_IDEMPOTENT,
    /** The answer is a stream of events; a request runs at most once unless it may be resumed. */
    STREAMING,
    /** Batches of items are submitted here and run later. */
    BATCH
}
