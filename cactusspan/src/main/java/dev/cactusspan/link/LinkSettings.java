package dev.cactusspan.link;

/**
 * Intervals and limits of links.
 *
 * @param heartbeatMs a heartbeat is sent when nothing has been sent for this long
 * @param silenceMs a link is closed when nothing has been received for this long
 * @param sendQueueBytes maximum number of bytes in the send queue
 * @param firstFrameBytes maximum size of the first frame of an accepted link, which is a hello
 * @param maxAccepted accepted links that are open at the same time
 * @param maxPendingBytes bytes of incomplete frames of all links
 */
public record LinkSettings(
        long heartbeatMs,
        long silenceMs,
        int sendQueueBytes,
        int firstFrameBytes,
        int maxAccepted,
        long maxPendingBytes) {
    /** Values for a network with round trips below 100 ms. */
    public static final LinkSettings STANDARD =
            new LinkSettings(1_000, 4_000, 32 << 20, 64 << 10, 2_048, 64L << 20);

    /**
     * Values for a process with a small heap: room for a link from each process of the largest
     * installation, and for one frame of the largest size.
     */
    public static final LinkSettings SMALL_HEAP =
            new LinkSettings(1_000, 4_000, 32 << 20, 4 << 10, 512, 24L << 20);
}
