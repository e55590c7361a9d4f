package dev.cactusspan.claim;

import java.util.function.Consumer;

/** An operation on the claims of a partition. */
sealed interface ClaimOperation {

    /** Returns the key of the claim. */
    ClaimKey key();

    /** Acquires a claim. */
    record Acquire(ClaimKey key, Claim claim, Consumer<ClaimOutcome> callback)
            implements ClaimOperation {}

    /** Stores the response to a claimed request. */
    record Complete(ClaimKey key, String token, StoredResponse response)
            implements ClaimOperation {}

    /** Removes a claim whose request is proved not to have run. */
    record Release(ClaimKey key, String token) implements ClaimOperation {}
}
