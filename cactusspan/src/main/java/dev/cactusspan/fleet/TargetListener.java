package dev.cactusspan.fleet;

import dev.cactusspan.result.SendFailure;

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
     * @param failure what is known of the request
     * @param reason one-line description for the log
     */
    void onFailure(SendFailure failure, String reason);
}
