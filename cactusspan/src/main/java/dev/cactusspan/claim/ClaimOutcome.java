package dev.cactusspan.claim;

import dev.cactusspan.result.Failure;

/** Outcome of acquiring a claim. */
public sealed interface ClaimOutcome {

    /**
     * The claim is new and durable: the request may be dispatched, once.
     *
     * @param token identifies this attempt when the claim is completed or released
     */
    record Granted(String token) implements ClaimOutcome {}

    /**
     * The request has run before.
     *
     * @param response the response to its first run
     */
    record Repeated(StoredResponse response) implements ClaimOutcome {}

    /**
     * An earlier request has no response, and its entry process will not provide one any more.
     *
     * @param token identifies the earlier attempt
     */
    record Unknown(String token) implements ClaimOutcome {}

    /**
     * The claim is refused.
     *
     * @param failure the reason
     */
    record Refused(Failure failure) implements ClaimOutcome {}
}
