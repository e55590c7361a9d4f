package dev.cactusspan.batch;

/** States of an item; the chart is {@code item.json}. */
enum ItemState {
    /** Waits for a target. */
    WAITING,
    /** A target generates its text. */
    RUNNING,
    /** Its text is whole and waits for its score. */
    SCORING,
    /** Its result is final. */
    FINISHED,
    /** Its batch has ended. */
    ENDED
}
