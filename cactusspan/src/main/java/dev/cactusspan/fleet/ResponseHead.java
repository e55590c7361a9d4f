package dev.cactusspan.fleet;

import dev.cactusspan.id.WeightVersion;
import java.util.Map;

/**
 * Status and headers of a target's answer.
 *
 * @param status HTTP status
 * @param headers headers that pass on to the client
 * @param digest the target's digest of the answer, empty if there is none
 * @param isNotRun true if the target says that it has not run the request
 * @param isFromOtherTarget true if another target answers at the address
 * @param isForThisRequest false if the answer belongs to another request
 * @param version weight version that begins the answer, {@link WeightVersion#NONE} if none
 * @param isEventStream true if the body is a stream of events
 */
public record ResponseHead(
        int status,
        Map<String, String> headers,
        String digest,
        boolean isNotRun,
        boolean isFromOtherTarget,
        boolean isForThisRequest,
        WeightVersion version,
        boolean isEventStream) {
    private static final int SUCCESS_FROM = 200;
    private static final int SUCCESS_TO = 299;

    /**
     * Tells whether the answer is a success that carries the target's digest.
     *
     * @return true for a stamped 2xx
     */
    public boolean isSuccessWithDigest() {
        return status >= SUCCESS_FROM && status <= SUCCESS_TO && !digest.isEmpty();
    }
}
