package dev.cactusspan.intake;

/**
 * Number of client connections that a process keeps open. Load pattern: crowds that open
 * connections and send little; descriptors and memory would run out before any request is refused.
 */
public final class ConnectionCap {
    /** Descriptors that the platform reserves for files. */
    private static final int FILE_DESCRIPTORS = 200;

    /** Heap of a connection with the longest header that the platform allows, in bytes. */
    private static final long CONNECTION_HEAP_BYTES = 32 << 10;

    /** Part of the heap that headers may fill. */
    private static final int HEAP_DIVISOR = 2;

    /** Bytes that arrived on a connection and wait to be read; the platform counts them. */
    private static final long CONNECTION_SOCKET_BYTES = 64 << 10;

    /** Memory of a process beside its heap: code, classes, threads and buffers of sockets. */
    private static final long PROCESS_MEMORY_MB = 130;

    private static final int BYTES_PER_MB_SHIFT = 20;
    private static final int MIN_CONNECTIONS = 64;

    private ConnectionCap() {}

    /**
     * Computes the number. Half of the descriptors stay free for connections to targets, to the
     * store and to other processes.
     *
     * @param maxFds descriptors that the process may open, zero if not known
     * @param memoryMb memory of the machine, zero if not known
     * @param heapBytes maximum size of the heap
     * @return the number of connections
     */
    public static int of(int maxFds, int memoryMb, long heapBytes) {
        long cap = heapBytes / HEAP_DIVISOR / CONNECTION_HEAP_BYTES;
        if (maxFds > 0) {
            cap = Math.min(cap, (maxFds - FILE_DESCRIPTORS) / 2);
        }
        if (memoryMb > 0) {
            long socketBytes = ((memoryMb - PROCESS_MEMORY_MB) << BYTES_PER_MB_SHIFT) - heapBytes;
            cap = Math.min(cap, socketBytes / CONNECTION_SOCKET_BYTES);
        }
        return (int) Math.max(MIN_CONNECTIONS, cap);
    }
}
