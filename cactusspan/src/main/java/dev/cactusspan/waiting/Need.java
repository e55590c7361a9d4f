package dev.cactusspan.waiting;

/** What the callers of work of one rank lose while it waits, the greatest loss first. */
public enum Need {
    /** A client waits for the response, which is due within its latency objective. */
    CLIENT,
    /** A complete text is worth nothing until it is scored. */
    SCORE,
    /**
     * The trainer waits for the first groups of a batch whatever else is complete, as they may be
     * groups that came again.
     */
    FIRST_GROUPS,
    /** The trainer waits for as many groups as it names. */
    WANTED_GROUPS,
    /** Groups beyond that number replace others that stay incomplete. */
    SURPLUS_GROUPS
}
