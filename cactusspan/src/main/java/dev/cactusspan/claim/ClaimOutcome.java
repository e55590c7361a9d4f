package dev.cactusspan.claim;

import dev.cactusspan.result.Failure;

/** Outcome of asking for a claim. */
public sealed interface ClaimOutcome {

    /**
     * The claim is durable and new: the request may be dispatched, once.
     *
     * @param token names the attempt, for the end of the claim
     */
    record Granted(String token) implements ClaimOutcome {}

    /**
     * The request has run before.
     *
     * @param response its first answer
     */
    record Repeated(StoredResponse response) implements ClaimOutcome {}

    /**
     * An earlier request has no answer, and none will come from its entry.
     *
     * @param token names the earlier attempt
     */
    record Unknown(String token) implements ClaimOutcome {}

    /**
     * The claim is refused.
     *
     * @param failure why
     */
    record Refused(Failure failure) implements ClaimOutcome {}
}
