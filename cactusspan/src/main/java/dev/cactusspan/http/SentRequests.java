package dev.cactusspan.http;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The requests that were sent on one connection. Load pattern: a faulty server sends an answer
 * twice, and the second copy comes where the next answer is expected. Its id tells it from the
 * answer to another request, but not from that to a further send of the same one; such a send
 * therefore goes to a connection that has not carried the request yet. Calls without an id cannot
 * be told apart at all, so one that changes state is the first of them on its connection.
 */
final class SentRequests {
    /**
     * Number of requests that are remembered. A late copy comes before the next answer, so that one
     * is enough for a server that delays one copy; the rest is margin.
     */
    static final int MAX_REMEMBERED = 16;

    private final Deque<String> mIds = new ArrayDeque<>();
    private boolean mHasCallWithoutId;

    /** Records that a request is sent. */
    void add(ResponseTag tag) {
        mHasCallWithoutId |= tag.isWithoutId();
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
        ResponseTag tag = request.tag();
        if (tag.hasId()) {
            return mIds.contains(tag.id());
        }
        return tag.isWithoutId() && !request.method().equals("GET") && mHasCallWithoutId;
    }
}
