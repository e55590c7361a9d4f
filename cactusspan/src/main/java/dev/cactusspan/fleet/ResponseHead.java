package dev.cactusspan.fleet;

import dev.cactusspan.id.WeightVersion;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Status and headers of a response from a target.
 *
 * @param status HTTP status
 * @param headers headers to forward to the client
 * @param digest the target's digest of the response, empty if there is none
 * @param isNotRun true if the target reports that it has not run the request
 * @param isFromOtherTarget true if a different target responds at the address
 * @param isForThisRequest false if the response belongs to another request
 * @param version weight version at the start of the response, {@link WeightVersion#NONE} if none
 * @param isEventStream true if the body is a stream of events
 * @param requestLimitPerS requests per second that the target accepts from all processes together,
 *     empty if it does not limit them
 * @param isTargetLeaving true if the target says that it leaves
 * @param coldMs time for which the target says that it is still cold, in milliseconds; empty if it
 *     says nothing of it
 */
public record ResponseHead(
        int status,
        Map<String, String> headers,
        String digest,
        boolean isNotRun,
        boolean isFromOtherTarget,
        boolean isForThisRequest,
        WeightVersion version,
        boolean isEventStream,
        OptionalDouble requestLimitPerS,
        boolean isTargetLeaving,
        OptionalLong coldMs) {
    /** Creates the head of a response that does not tell whether the target is cold. */
    public ResponseHead(
            int status,
            Map<String, String> headers,
            String digest,
            boolean isNotRun,
            boolean isFromOtherTarget,
            boolean isForThisRequest,
            WeightVersion version,
            boolean isEventStream,
            OptionalDouble requestLimitPerS,
            boolean isTargetLeaving) {
        this(
                status,
                headers,
                digest,
                isNotRun,
                isFromOtherTarget,
                isForThisRequest,
                version,
                isEventStream,
                requestLimitPerS,
                isTargetLeaving,
                OptionalLong.empty());
    }

    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MAX_SUCCESS_STATUS = 299;

    /**
     * Returns whether the status is one of success.
     *
     * @return true for a 2xx status
     */
    public boolean isSuccess() {
        return status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS;
    }

    /**
     * Returns whether the response is a success that carries the target's digest.
     *
     * @return true for a 2xx status with a digest
     */
    public boolean isSuccessWithDigest() {
        return isSuccess() && !digest.isEmpty();
    }
}
