package dev.cactusspan.forward;

import dev.cactusspan.intake.Body;
import dev.cactusspan.result.Failure;
import java.util.Map;

/** Writes the response to a client. */
public interface ClientSink {

    /**
     * Writes a complete response.
     *
     * @param status HTTP status
     * @param headers response headers
     * @param body response body, whose memory is returned once it is written or not needed
     */
    void respond(int status, Map<String, String> headers, Body body);

    /**
     * Starts a streamed response.
     *
     * @param status HTTP status
     * @param headers response headers
     */
    void start(int status, Map<String, String> headers);

    /**
     * Writes a chunk of a streamed response.
     *
     * @param data the bytes
     * @param written run once the bytes are written, on any thread
     */
    void data(byte[] data, Runnable written);

    /** Ends a streamed response normally. */
    void end();

    /** Aborts a streamed response so that the client can tell that it is incomplete. */
    void abort();

    /**
     * Responds with a failure.
     *
     * @param failure the failure
     * @param retryAfterMs delay after which the client should retry, zero for no hint
     */
    void fail(Failure failure, long retryAfterMs);
}
