package dev.cactusspan.fleet;

/** How the requests of a route may be run. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,
    /** A request runs at most once. */
    NON_IDEMPOTENT,
    /** The response is a stream of events; a request runs at most once unless it is resumable. */
    STREAMING,
    /** The route accepts batches of items, which run later. */
    BATCH
}
