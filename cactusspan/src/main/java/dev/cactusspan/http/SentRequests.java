package dev.cactusspan.http;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The requests that were sent on one connection. Load pattern: a faulty server sends an answer
 * twice, and the second copy comes where the next answer is expected. Its id tells it from the
 * answer to another request, but not from that to a further send of the same one; such a send
 * therefore goes to a connection that has not carried the request yet.
 */
final class SentRequests {
    /**
     * Number of requests that are remembered. A late copy comes before the next answer, so that one
     * is enough for a server that delays one copy; the rest is margin.
     */
    static final int MAX_REMEMBERED = 16;

    private final Deque<String> mIds = new ArrayDeque<>();

    /** Records that a request is sent. */
    void add(ResponseTag tag) {
        if (!tag.hasId()) {
            return;
        }
        if (mIds.size() >= MAX_REMEMBERED) {
            mIds.poll();
        }
        mIds.add(tag.id());
    }

    /** Tells whether the copy of an earlier answer could be taken for the answer to a request. */
    boolean mayAnswer(HttpRequest request) {
        return request.tag().hasId() && mIds.contains(request.tag().id());
    }
}
