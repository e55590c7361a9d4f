package dev.cactusspan.store;

import java.util.List;

/**
 * An atomic change of several keys.
 *
 * @param expected conditions under which it takes effect
 * @param writes keys to write
 * @param deletes keys to remove
 */
public record Transaction(List<Expectation> expected, List<Write> writes, List<String> deletes) {

    /**
     * Returns a transaction that only writes.
     *
     * @param expected conditions under which it takes effect
     * @param writes keys to write
     * @return the transaction
     */
    public static Transaction of(List<Expectation> expected, List<Write> writes) {
        return new Transaction(expected, writes, List.of());
    }

    /**
     * A condition on a key.
     *
     * @param key the key
     * @param revision expected revision of its last change, zero if it must not exist
     */
    public record Expectation(String key, long revision) {}

    /**
     * A key to write.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease to bind it to, zero for none
     */
    public record Write(String key, byte[] value, long lease) {}
}
