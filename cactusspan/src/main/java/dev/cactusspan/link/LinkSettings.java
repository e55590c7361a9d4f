package dev.cactusspan.link;

/**
 * Times and bounds of links.
 *
 * @param heartbeatMs a heartbeat is sent when nothing was sent for this long
 * @param silenceMs a link is closed when nothing came for this long
 * @param sendQueueBytes bytes that wait to be sent at most
 */
public record LinkSettings(long heartbeatMs, long silenceMs, int sendQueueBytes) {
    /** Values for a network with round trips below 100 ms. */
    public static final LinkSettings STANDARD = new LinkSettings(1_000, 4_000, 32 << 20);
}
