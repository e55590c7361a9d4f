package dev.cactusspan.link;

import dev.cactusspan.wire.Frame;

/** Receives events of links. All methods are called on the thread of the {@link LinkReactor}. */
public interface LinkListener {

    /**
     * Called when a link was accepted or connected.
     *
     * @param link the link
     */
    void onUp(Link link);

    /**
     * Called when a frame was received.
     *
     * @param link the link
     * @param frame the frame
     */
    void onFrame(Link link, Frame frame);

    /**
     * Called when a link was closed or could not be connected.
     *
     * @param link the link
     * @param reason one line for the log
     */
    void onDown(Link link, String reason);
}
