package dev.cactusspan.link;

/**
 * Intervals and limits of links.
 *
 * @param heartbeatMs a heartbeat is sent when nothing has been sent for this long
 * @param silenceMs a link is closed when nothing has been received for this long
 * @param sendQueueBytes maximum number of bytes in the send queue
 */
public record LinkSettings(long heartbeatMs, long silenceMs, int sendQueueBytes) {
    /** Values for a network with round trips below 100 ms. */
    public static final LinkSettings STANDARD = new LinkSettings(1_000, 4_000, 32 << 20);
}
