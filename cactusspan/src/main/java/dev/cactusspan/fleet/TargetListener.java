package dev.cactusspan.fleet;

/** Receives a target's answer as it comes; all calls come on the thread of the decisions. */
public interface TargetListener {

    /**
     * Takes status and headers.
     *
     * @param head status and headers
     */
    void onHead(ResponseHead head);

    /**
     * Takes a part of the body.
     *
     * @param data the bytes
     */
    void onData(byte[] data);

    /** Takes the end of a whole answer. */
    void onEnd();

    /**
     * Takes a failure; nothing follows.
     *
     * @param sent false is proof that no byte of the request was sent
     * @param reason one line for the log
     */
    void onFailure(boolean sent, String reason);
}
