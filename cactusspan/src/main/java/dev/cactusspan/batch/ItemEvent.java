package dev.cactusspan.batch;

/** Events of an item. */
enum ItemEvent {
    /** It was sent to a target. */
    DISPATCH,
    /** Its run broke off. */
    INTERRUPT,
    /** Its text is whole and is to be scored. */
    TEXT_WHOLE,
    /** Its text is whole and needs no score. */
    NO_SCORE,
    /** Its score came. */
    SCORED,
    /** It can never be done. */
    GIVE_UP,
    /** Its batch has ended. */
    END
}
