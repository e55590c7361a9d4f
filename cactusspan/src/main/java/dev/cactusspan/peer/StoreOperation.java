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
record StoreOperation(Kind kind, String key, String after, Transaction transaction, long lease) {
    private static final Transaction NO_TRANSACTION = Transaction.of(List.of(), List.of());

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

    static StoreOperation get(String key) {
        return new StoreOperation(Kind.GET, key, "", NO_TRANSACTION, 0);
    }

    static StoreOperation range(String prefix, String after) {
        return new StoreOperation(Kind.RANGE, prefix, after, NO_TRANSACTION, 0);
    }

    static StoreOperation commit(Transaction transaction) {
        return new StoreOperation(Kind.COMMIT, "", "", transaction, 0);
    }

    static StoreOperation renew(long lease) {
        return new StoreOperation(Kind.RENEW, "", "", NO_TRANSACTION, lease);
    }
}
