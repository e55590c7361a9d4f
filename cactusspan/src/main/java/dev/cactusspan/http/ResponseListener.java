package dev.cactusspan.http;

import java.util.Map;

/** Receives an answer as it comes. All calls for one answer come on one I/O thread. */
public interface ResponseListener {

    /**
     * Status and headers came.
     *
     * @param status HTTP status
     * @param headers headers, with names in lower case
     */
    void onHead(int status, Map<String, String> headers);

    /**
     * A part of the body came.
     *
     * @param data the bytes
     */
    void onData(byte[] data);

    /** The answer is whole. */
    void onEnd();

    /**
     * The call failed; nothing follows.
     *
     * @param sent false is proof that no byte of the request was sent
     * @param reason one line for the log
     */
    void onFailure(boolean sent, String reason);
}
