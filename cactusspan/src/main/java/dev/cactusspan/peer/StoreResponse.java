package dev.cactusspan.peer;

import dev.cactusspan.result.ErrorKind;
import dev.cactusspan.result.Failure;
import dev.cactusspan.result.Result;
import dev.cactusspan.store.KeyStore;
import dev.cactusspan.store.StoredItem;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * The store's response to an operation that was relayed for another process.
 *
 * @param failure kind of the failure, empty for a success
 * @param detail one line for the log
 * @param items items that were read
 * @param hasMore true if another page follows
 * @param number revision, or remaining time of a lease in milliseconds
 */
record StoreResponse(
        Optional<ErrorKind> failure,
        String detail,
        List<StoredItem> items,
        boolean hasMore,
        long number) {

    static StoreResponse item(Result<Optional<StoredItem>> result) {
        return result.fold(
                StoreResponse::failed,
                i -> new StoreResponse(Optional.empty(), "", i.stream().toList(), false, 0));
    }

    static StoreResponse page(Result<KeyStore.Page> result) {
        return result.fold(
                StoreResponse::failed,
                p -> new StoreResponse(Optional.empty(), "", p.items(), p.hasMore(), p.asOf()));
    }

    static StoreResponse number(Result<Long> result) {
        return result.fold(
                StoreResponse::failed,
                n -> new StoreResponse(Optional.empty(), "", List.of(), false, n));
    }

    private static StoreResponse failed(Failure failure) {
        return new StoreResponse(
                Optional.of(failure.kind()), failure.detail(), List.of(), false, 0);
    }

    <T> Result<T> map(Function<StoreResponse, T> mapper) {
        return failure.<Result<T>>map(kind -> Result.fail(kind, detail))
                .orElseGet(() -> Result.of(mapper.apply(this)));
    }
}
