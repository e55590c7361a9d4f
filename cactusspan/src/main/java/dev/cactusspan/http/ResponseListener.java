package dev.cactusspan.http;

import dev.cactusspan.result.SendFailure;
import java.util.Map;

/**
 * Receives the parts of an HTTP response as they arrive. All methods are called for one response on
 * the same I/O thread.
 */
public interface ResponseListener {

    /**
     * Called when status and headers have been received.
     *
     * @param status HTTP status
     * @param headers headers, with names in lower case
     */
    void onHead(int status, Map<String, String> headers);

    /**
     * Called when a part of the body has been received.
     *
     * @param data the bytes
     * @param consumed to be run once the bytes are no longer held, on any thread; while too many
     *     are held, nothing more is read from the server
     */
    void onData(byte[] data, Runnable consumed);

    /** Called when the complete response has been received. */
    void onEnd();

    /**
     * Called when the request failed. No other method is called after it.
     *
     * @param failure what is known of the request
     * @param reason one line for the log
     */
    void onFailure(SendFailure failure, String reason);
}
