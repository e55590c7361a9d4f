package dev.cactusspan.batch;

/** Events of an item, which drive its state chart. */
enum ItemEvent {
    /** The item was sent to a target. */
    DISPATCH,
    /** The attempt was interrupted. */
    INTERRUPT,
    /** The text is complete and must be scored. */
    TEXT_WHOLE,
    /** The text is complete and needs no score. */
    NO_SCORE,
    /** The score was received. */
    SCORED,
    /** The item is abandoned: it cannot be completed. */
    GIVE_UP,
    /** The batch has ended. */
    END
}
