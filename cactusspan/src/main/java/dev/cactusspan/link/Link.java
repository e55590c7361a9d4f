package dev.cactusspan.link;

import dev.cactusspan.wire.Message;

/** A connection to another process of the system. */
public interface Link {

    /**
     * Sends a message. A link whose send queue is full is closed.
     *
     * @param message the message
     * @return true if the message was queued; false if it will never be sent
     */
    boolean send(Message message);

    /**
     * Closes the link.
     *
     * @param reason one line for the log
     */
    void close(String reason);

    /**
     * Returns the address of the other end, for logs.
     *
     * @return IP and port
     */
    String remote();
}
