package dev.cactusspan.batch;

import dev.cactusspan.fleet.ResponseHead;
import dev.cactusspan.id.WeightVersion;

/**
 * Decides what the head of a response says of the text of an item. Load patterns: a target answers
 * with an error, or for another request, where a text is due; and a run is cut between the last
 * event of its text and the end of its stream, so that the target that resumes it has nothing to
 * generate and names no weights, as often as it is asked.
 */
final class TextHead {
    private TextHead() {}

    /** Tells whether a text follows; any other response, even an empty one, is no end of a text. */
    static boolean isText(ResponseHead head) {
        return head.isSuccessWithDigest() && head.isEventStream() && head.isForThisRequest();
    }

    /** Tells whether the text of a run may be whole already, as no weights are named. */
    static boolean isEnd(ItemRun run, ResponseHead head) {
        return run.eventCount() > 0 && head.version().equals(WeightVersion.NONE);
    }
}
