package dev.cactusspan.fleet;

/** Receives the response of a target as it arrives. All calls are made on the decision thread. */
public interface TargetListener {

    /**
     * Handles the status and headers.
     *
     * @param head status and headers
     */
    void onHead(ResponseHead head);

    /**
     * Handles a chunk of the body.
     *
     * @param data the bytes
     * @param consumed to be run once the bytes are no longer held, on any thread; while too many
     *     are held, nothing more is read from the target
     */
    void onData(byte[] data, Runnable consumed);

    /** Handles the end of a complete response. */
    void onEnd();

    /**
     * Handles a failure, after which no other method is called.
     *
     * @param sent false if it is proved that no byte of the request was sent
     * @param reason one-line description for the log
     */
    void onFailure(boolean sent, String reason);
}
