package dev.cactusspan.fleet;

import dev.cactusspan.id.AccountId;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A request as a target gets it.
 *
 * @param id id of the request, which the target's answer repeats
 * @param method HTTP method
 * @param path path and query
 * @param host host of the route
 * @param headers headers of the client that pass on
 * @param body the body
 * @param account the client account that it runs for, empty for calls of the system's own
 * @param timeLeftMs how long the target may work on it
 * @param resumeAfter last event of a stream that is to go on, empty to start from the beginning
 */
public record TargetRequest(
        String id,
        String method,
        String path,
        String host,
        Map<String, String> headers,
        byte[] body,
        Optional<AccountId> account,
        long timeLeftMs,
        OptionalLong resumeAfter) {}
