package dev.cactusspan.claim;

/**
 * The stored response to the first run of a request.
 *
 * @param status HTTP status
 * @param contentType content type, empty if none
 * @param body the body; empty if it is stored under its own key
 * @param detached true if the body is stored under its own key
 */
public record StoredResponse(int status, String contentType, byte[] body, boolean detached) {

    /**
     * Returns this response with the body that was stored under its own key.
     *
     * @param storedBody the stored body
     * @return the complete response
     */
    public StoredResponse withBody(byte[] storedBody) {
        return new StoredResponse(status, contentType, storedBody, false);
    }
}
