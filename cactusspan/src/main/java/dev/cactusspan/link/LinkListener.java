package dev.cactusspan.link;

import dev.cactusspan.wire.Frame;

/** Receives what happens on links. All calls come on the thread of the {@link LinkReactor}. */
public interface LinkListener {

    /**
     * A link was accepted or connected.
     *
     * @param link the link
     */
    void onUp(Link link);

    /**
     * A frame came.
     *
     * @param link the link
     * @param frame the frame
     */
    void onFrame(Link link, Frame frame);

    /**
     * A link was closed, or could not be connected.
     *
     * @param link the link
     * @param reason one line for the log
     */
    void onDown(Link link, String reason);
}
