package dev.cactusspan.claim;

/**
 * The first answer to a request.
 *
 * @param status HTTP status
 * @param contentType content type, empty if none
 * @param body the body; empty if it is stored under its own key
 * @param detached true if the body is stored under its own key
 */
public record StoredResponse(int status, String contentType, byte[] body, boolean detached) {

    /**
     * Returns this answer with the body that was stored under its own key.
     *
     * @param storedBody the body
     * @return the whole answer
     */
    public StoredResponse withBody(byte[] storedBody) {
        return new StoredResponse(status, contentType, storedBody, false);
    }
}
