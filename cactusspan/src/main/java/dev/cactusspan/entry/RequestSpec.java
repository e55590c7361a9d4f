package dev.cactusspan.entry;

import dev.cactusspan.config.EnvironmentDocument.RequestClass;
import dev.cactusspan.config.EnvironmentDocument.Route;
import dev.cactusspan.config.KeyHash;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.RequestId;
import dev.cactusspan.id.WeightVersion;
import java.util.Map;
import java.util.Optional;

/**
 * A request that was validated by its HTTP handler.
 *
 * @param id id for logs and the caller
 * @param account the client account
 * @param keyHash hash of the caller's key, empty on an open route
 * @param route its route
 * @param requestClass its class
 * @param method HTTP method at the target
 * @param path path and query at the target
 * @param headers headers for the target
 * @param body body for the target
 * @param affinity hash of the prompt's prefix, zero for none
 * @param deadlineMs maximum duration of the request in milliseconds
 * @param labelled true if the response must be labelled with weight versions
 * @param minVersion lowest weight version that a target must hold
 * @param idempotencyKey the caller's idempotency key, empty if none
 */
record RequestSpec(
        RequestId id,
        AccountId account,
        Optional<KeyHash> keyHash,
        Route route,
        RequestClass requestClass,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        long affinity,
        long deadlineMs,
        boolean labelled,
        WeightVersion minVersion,
        String idempotencyKey) {

    boolean isAtMostOnce() {
        return requestClass == RequestClass.NON_IDEMPOTENT;
    }
}
