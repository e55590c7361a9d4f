package dev.cactusspan.batch;

/** States of an item, as in the state chart {@code item.json}. */
enum ItemState {
    /** The item waits for a target. */
    WAITING,
    /** A target is generating the text. */
    RUNNING,
    /** The text is complete and waits for its score. */
    SCORING,
    /** The result is final. */
    FINISHED,
    /** The batch has ended. */
    ENDED
}
