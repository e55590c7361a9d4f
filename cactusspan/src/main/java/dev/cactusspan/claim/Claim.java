package dev.cactusspan.claim;

/**
 * A claim as stored.
 *
 * @param digest digest of the request that made it
 * @param token names the one attempt to claim that made it
 * @param runsUntilMs wall-clock time until which the request may be running
 * @param expiresMs wall-clock time at which the claim may be dropped
 * @param answer the answer, null while there is none
 */
public record Claim(
        String digest, String token, long runsUntilMs, long expiresMs, StoredResponse answer) {

    /**
     * Tells whether the request has an answer.
     *
     * @return true if it has
     */
    public boolean isAnswered() {
        return answer != null;
    }

    /**
     * Returns this claim with an answer.
     *
     * @param response the answer
     * @return the answered claim
     */
    public Claim withResponse(StoredResponse response) {
        return new Claim(digest, token, runsUntilMs, expiresMs, response);
    }
}
