package dev.cactusspan.peer;

import dev.cactusspan.store.Transaction;
import java.util.List;

/**
 * An operation on the store that is relayed through another process.
 *
 * @param kind the kind of operation
 * @param key the key or prefix
 * @param after the last key of the previous page
 * @param transaction the transaction, empty for other operations
 * @param lease the lease
 */
record StoreCall(Kind kind, String key, String after, Transaction transaction, long lease) {
    private static final Transaction NONE = Transaction.of(List.of(), List.of());

    /** The kind of operation. */
    enum Kind {
        /** Read a key. */
        GET,
        /** Read a page of keys. */
        RANGE,
        /** Apply a transaction. */
        COMMIT,
        /** Renew a lease. */
        RENEW
    }

    static StoreCall get(String key) {
        return new StoreCall(Kind.GET, key, "", NONE, 0);
    }

    static StoreCall range(String prefix, String after) {
        return new StoreCall(Kind.RANGE, prefix, after, NONE, 0);
    }

    static StoreCall commit(Transaction transaction) {
        return new StoreCall(Kind.COMMIT, "", "", transaction, 0);
    }

    static StoreCall renew(long lease) {
        return new StoreCall(Kind.RENEW, "", "", NONE, lease);
    }
}
