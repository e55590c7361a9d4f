package dev.cactusspan.claim;

/**
 * A claim as stored.
 *
 * @param digest digest of the request that made the claim
 * @param token identifies the acquire attempt that made the claim
 * @param runsUntilMs wall-clock time until which the request may be running, in milliseconds
 * @param expiresMs wall-clock time at which the claim may be removed, in milliseconds
 * @param answer the response, null while there is none
 */
public record Claim(
        String digest, String token, long runsUntilMs, long expiresMs, StoredResponse answer) {

    /**
     * Tells whether the request has a response.
     *
     * @return true if the response is stored
     */
    public boolean isAnswered() {
        return answer != null;
    }

    /**
     * Returns this claim with a response.
     *
     * @param response the response
     * @return the completed claim
     */
    public Claim withResponse(StoredResponse response) {
        return new Claim(digest, token, runsUntilMs, expiresMs, response);
    }
}
