package dev.cactusspan.entry;

import dev.cactusspan.result.Failure;
import dev.cactusspan.weight.VersionSpan;
import java.util.List;

/** Receives the answer to a request: head, data, then end; or a failure at any time. */
interface ResponseSink {

    /**
     * Takes status and content type.
     *
     * @param status HTTP status
     * @param contentType content type, empty if none
     */
    void head(int status, String contentType);

    /**
     * Takes a part of the body.
     *
     * @param data the bytes
     */
    void data(byte[] data);

    /**
     * Takes the end of a whole answer.
     *
     * @param labels weight versions that produced it
     */
    void end(List<VersionSpan> labels);

    /**
     * Takes a failure; nothing follows.
     *
     * @param failure the failure
     */
    void fail(Failure failure);

    /**
     * Tells whether the receiver shows parts of an answer before its end. Such an answer cannot be
     * tried again once a part was shown.
     *
     * @return true if parts are shown as they come
     */
    boolean isStreaming();
}
