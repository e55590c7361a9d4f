package dev.cactusspan.fleet;

import dev.cactusspan.id.AccountId;
import dev.cactusspan.intake.Body;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * A request as sent to a target.
 *
 * @param id request id, which the target echoes in its response
 * @param method HTTP method
 * @param path path and query
 * @param host host name of the route
 * @param headers client headers to forward
 * @param body request body
 * @param account client account that the request runs for, empty for internal requests
 * @param timeLeftMs time that the target has left to process the request
 * @param resumeAfter id of the event after which to resume a stream, empty to start from the
 *     beginning
 * @param priority urgency from 0 to 9, where 0 is the highest, empty if the target decides
 */
public record TargetRequest(
        String id,
        String method,
        String path,
        String host,
        Map<String, String> headers,
        Body body,
        Optional<AccountId> account,
        long timeLeftMs,
        OptionalLong resumeAfter,
        OptionalInt priority) {

    /** Creates a request with a body that is an array. */
    public TargetRequest(
            String id,
            String method,
            String path,
            String host,
            Map<String, String> headers,
            byte[] body,
            Optional<AccountId> account,
            long timeLeftMs,
            OptionalLong resumeAfter,
            OptionalInt priority) {
        this(
                id,
                method,
                path,
                host,
                headers,
                Body.of(body),
                account,
                timeLeftMs,
                resumeAfter,
                priority);
    }
}
