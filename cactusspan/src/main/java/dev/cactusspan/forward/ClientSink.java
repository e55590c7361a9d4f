package dev.cactusspan.forward;

import dev.cactusspan.result.Failure;
import java.util.Map;

/** Writes the answer to a client. */
public interface ClientSink {

    /**
     * Writes a whole answer.
     *
     * @param status HTTP status
     * @param headers headers
     * @param body the body
     */
    void respond(int status, Map<String, String> headers, byte[] body);

    /**
     * Begins an answer that is written as it comes.
     *
     * @param status HTTP status
     * @param headers headers
     */
    void start(int status, Map<String, String> headers);

    /**
     * Writes a part of an answer that has begun.
     *
     * @param data the bytes
     */
    void data(byte[] data);

    /** Ends an answer that has begun as complete. */
    void end();

    /** Breaks off an answer that has begun, so that it does not look complete. */
    void abort();

    /**
     * Answers with a failure.
     *
     * @param failure the failure
     * @param retryAfterMs when the client should come back, zero to leave it open
     */
    void fail(Failure failure, long retryAfterMs);
}
