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

    /** Records that a request is sent; requests without an id are not told apart. */
    void add(String id) {
        if (id.isEmpty()) {
            return;
        }
        if (mIds.size() >= MAX_REMEMBERED) {
            mIds.poll();
        }
        mIds.add(id);
    }

    /** Tells whether an answer that bears an id may belong to an earlier send. */
    boolean mayAnswer(String id) {
        return !id.isEmpty() && mIds.contains(id);
    }
}
