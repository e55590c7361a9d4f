package dev.cactusspan.claim;

/**
 * The first answer to a request.
 *
 * @param status HTTP status
 * @param contentType content type, empty if none
 * @param body the body; empty if it is stored under its own key
 * @param detached true if the body is stored under its own key
 */
public record StoredAnswer(int status, String contentType, byte[] body, boolean detached) {

    /**
     * Returns this answer with the body that was stored under its own key.
     *
     * @param stored the body
     * @return the whole answer
     */
    public StoredAnswer attached(byte[] stored) {
        return new StoredAnswer(status, contentType, stored, false);
    }
}
