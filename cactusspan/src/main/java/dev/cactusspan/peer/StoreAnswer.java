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
record StoreAnswer(
        Optional<ErrorKind> failure,
        String detail,
        List<StoredItem> items,
        boolean hasMore,
        long number) {

    static StoreAnswer item(Result<Optional<StoredItem>> result) {
        return result.fold(
                StoreAnswer::failed,
                i -> new StoreAnswer(Optional.empty(), "", i.stream().toList(), false, 0));
    }

    static StoreAnswer page(Result<KeyStore.Page> result) {
        return result.fold(
                StoreAnswer::failed,
                p -> new StoreAnswer(Optional.empty(), "", p.items(), p.hasMore(), p.asOf()));
    }

    static StoreAnswer number(Result<Long> result) {
        return result.fold(
                StoreAnswer::failed,
                n -> new StoreAnswer(Optional.empty(), "", List.of(), false, n));
    }

    private static StoreAnswer failed(Failure failure) {
        return new StoreAnswer(Optional.of(failure.kind()), failure.detail(), List.of(), false, 0);
    }

    <T> Result<T> map(Function<StoreAnswer, T> reader) {
        return failure.<Result<T>>map(kind -> Result.fail(kind, detail))
                .orElseGet(() -> Result.of(reader.apply(this)));
    }
}
