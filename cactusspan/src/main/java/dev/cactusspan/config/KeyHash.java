package dev.cactusspan.config;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Objects;

/**
 * Hash of a caller's key. Keys hold 256 random bits, so a SHA-256 without salt is sufficient.
 *
 * @param text {@code sha256:} and 64 hexadecimal digits
 */
public record KeyHash(@JsonValue String text) {
    private static final String PREFIX = "sha256:";
    private static final String KEY_PREFIX = "csk-";
    private static final int KEY_BYTES = 32;

    /** Checks that the text is not null. */
    public KeyHash {
        Objects.requireNonNull(text, "text is null");
    }

    /**
     * Returns the hash with the given text.
     *
     * @param text {@code sha256:} and 64 hexadecimal digits
     * @return the hash
     */
    @JsonCreator
    public static KeyHash of(String text) {
        return new KeyHash(text);
    }

    /**
     * Hashes a key.
     *
     * @param key the key
     * @return its hash
     */
    public static KeyHash ofKey(String key) {
        return new KeyHash(PREFIX + Hashing.sha256().hashString(key, StandardCharsets.UTF_8));
    }

    /**
     * Generates a new key.
     *
     * @param random the source of randomness
     * @return the key
     */
    public static String newKey(SecureRandom random) {
        byte[] bytes = new byte[KEY_BYTES];
        random.nextBytes(bytes);
        return KEY_PREFIX + BaseEncoding.base64Url().omitPadding().encode(bytes);
    }

    /**
     * Compares two hashes in constant time.
     *
     * @param other the other hash
     * @return true if both are equal
     */
    public boolean matches(KeyHash other) {
        return MessageDigest.isEqual(
                text.getBytes(StandardCharsets.US_ASCII),
                other.text.getBytes(StandardCharsets.US_ASCII));
    }
}
