package dev.cactusspan.entry;

import dev.cactusspan.result.Failure;
import dev.cactusspan.weight.VersionSpan;
import java.util.List;

/** Receives the response to a request: head, data, then end; or a failure at any time. */
interface ResponseSink {

    /**
     * Receives the status and the content type.
     *
     * @param status HTTP status
     * @param contentType content type, empty if none
     */
    void head(int status, String contentType);

    /**
     * Receives a chunk of the body.
     *
     * @param data the bytes
     */
    void data(byte[] data);

    /**
     * Receives the end of a complete response.
     *
     * @param labels weight versions that produced it
     */
    void end(List<VersionSpan> labels);

    /**
     * Receives a failure; no call follows it.
     *
     * @param failure the failure
     */
    void fail(Failure failure);

    /**
     * Returns whether chunks reach the caller before the response ends. Such a request cannot be
     * retried once a chunk was passed on.
     *
     * @return true if chunks are passed on as they arrive
     */
    boolean isStreaming();
}
