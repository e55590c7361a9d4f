package dev.cactusspan.batch;

import dev.cactusspan.id.SoftwareVersion;

/**
 * Decides where an interrupted text goes on. Targets of several software versions may serve at
 * once, and events of two versions make no text, so it goes on only at the version that began it.
 * Load pattern: while a service is upgraded, the targets of the former version are fewer and fewer,
 * and full, and those of the new one are idle. A text waits for its version no longer than it takes
 * to generate its events again; after that it starts again at any version.
 */
final class ResumeRule {
    /** Time that a target takes to generate an event, in milliseconds. */
    static final long EVENT_MS = 20;

    /** Maximum time that a text waits for its version, in milliseconds. */
    static final long MAX_WAIT_MS = 2_500;

    private ResumeRule() {}

    /**
     * Tells whether a text may go on at a target.
     *
     * @param begun software version that began the text, {@link SoftwareVersion#NONE} if it has no
     *     event yet
     * @param software software version of the target
     * @return true if the text has no event yet, or began at that version
     */
    static boolean mayContinue(SoftwareVersion begun, SoftwareVersion software) {
        return begun.equals(SoftwareVersion.NONE) || begun.equals(software);
    }

    /**
     * Tells whether a text starts again rather than wait for a target of its version.
     *
     * @param isServing true if any target of its version accepts new work
     * @param events number of its events
     * @param waitedMs time that it has waited for such a target, in milliseconds
     * @return true if it starts again
     */
    static boolean shouldRestart(boolean isServing, int events, long waitedMs) {
        return !isServing || waitedMs >= Math.min(MAX_WAIT_MS, events * EVENT_MS);
    }
}
