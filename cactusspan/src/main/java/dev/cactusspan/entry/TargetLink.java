package dev.cactusspan.entry;

import dev.cactusspan.id.ServiceId;
import dev.cactusspan.id.TargetId;
import dev.cactusspan.link.Link;
import dev.cactusspan.routing.Candidate;
import dev.cactusspan.wire.Message;
import java.util.HashMap;
import java.util.Map;

/** A link from this entry to the side process of a target. */
final class TargetLink {
    private final Link mLink;
    private final Message.SideHello mHello;
    private final Map<Long, PendingRequest> mStreams = new HashMap<>();
    private Message.Load mLoad;
    private int mOtherRequests;
    private boolean mIsRouted = true;
    private long mNextStream = 1;

    TargetLink(Link link, Message.SideHello hello, Message.Load load) {
        mLink = link;
        mHello = hello;
        mLoad = load;
    }

    // Operations

    /** Opens a stream for a request and returns its number, which is unique on this link. */
    long newStream(PendingRequest request) {
        long stream = mNextStream++;
        mStreams.put(stream, request);
        return stream;
    }

    void forget(long stream) {
        mStreams.remove(stream);
    }

    /** Applies a load report; requests beyond this entry's own are attributed to others. */
    void updateLoad(Message.Load load) {
        mLoad = load;
        mOtherRequests = Math.max(0, load.inFlight() + load.queued() - mStreams.size());
    }

    /** Sets whether requests are routed over the link. */
    void setRouted(boolean isRouted) {
        mIsRouted = isRouted;
    }

    boolean isRouted() {
        return mIsRouted;
    }

    boolean isUsable() {
        return !mLoad.leaving();
    }

    Candidate candidate() {
        return new Candidate(
                mHello.target(),
                mHello.zone(),
                mStreams.size(),
                mOtherRequests,
                mLoad.slots(),
                mLoad.version());
    }

    // Accessors

    PendingRequest request(long stream) {
        return mStreams.get(stream);
    }

    Map<Long, PendingRequest> streams() {
        return mStreams;
    }

    Link link() {
        return mLink;
    }

    TargetId target() {
        return mHello.target();
    }

    ServiceId service() {
        return mHello.service();
    }

    Message.Load load() {
        return mLoad;
    }

    Message.SideHello hello() {
        return mHello;
    }
}
