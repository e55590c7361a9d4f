package dev.cactusspan.claim;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.common.hash.Hashing;
import dev.cactusspan.id.AccountId;
import dev.cactusspan.id.RouteId;
import java.nio.charset.StandardCharsets;

/**
 * Key of a claim: a digest of client account, route and idempotency key.
 *
 * @param text hexadecimal digits
 */
public record ClaimKey(@JsonValue String text) implements Comparable<ClaimKey> {
    private static final int DIGITS = 32;
    private static final int HEX = 16;
    private static final int PARTITION_DIGITS = 4;

    /**
     * Returns the key of a request.
     *
     * @param account the client account
     * @param route the route
     * @param idempotencyKey the caller's idempotency key
     * @return the key
     */
    public static ClaimKey of(AccountId account, RouteId route, String idempotencyKey) {
        String digest =
                Hashing.sha256()
                        .newHasher()
                        .putUnencodedChars(account.value())
                        .putChar('\0')
                        .putUnencodedChars(route.value())
                        .putChar('\0')
                        .putString(idempotencyKey, StandardCharsets.UTF_8)
                        .hash()
                        .toString();
        return new ClaimKey(digest.substring(0, DIGITS));
    }

    /**
     * Creates a key from its text.
     *
     * @param text hexadecimal digits
     * @return the key
     */
    @JsonCreator
    public static ClaimKey of(String text) {
        return new ClaimKey(text);
    }

    /**
     * Returns the partition of the key.
     *
     * @param partitions number of partitions
     * @return index of the partition, from zero
     */
    public int partition(int partitions) {
        return Integer.parseInt(text.substring(0, PARTITION_DIGITS), HEX) % partitions;
    }

    @Override
    public int compareTo(ClaimKey other) {
        return text.compareTo(other.text);
    }
}
