package dev.cactusspan.forward;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import dev.cactusspan.id.AccountId;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Identifies requests of one client account that ask for the same. Each retry of a client has
 * another request id, but the same fingerprint.
 *
 * @param value digest of the account, method, host, path and body, in hexadecimal
 */
public record RequestFingerprint(String value) {

    /**
     * Computes the fingerprint of a request.
     *
     * @param request the request
     * @param account the client account that it runs for
     * @return its fingerprint
     */
    static RequestFingerprint of(ClientRequest request, Optional<AccountId> account) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        put(hasher, account.map(AccountId::value).orElse(""));
        put(hasher, request.method());
        put(hasher, request.hostOnly());
        put(hasher, request.path());
        request.body().parts().forEachRemaining(hasher::putBytes);
        return new RequestFingerprint(hasher.hash().toString());
    }

    private static void put(Hasher hasher, String field) {
        hasher.putInt(field.length()).putString(field, StandardCharsets.UTF_8);
    }
}
