package dev.cactusspan.result;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Delivers results of futures to a consumer on a given thread. */
public final class FutureResults {
    private FutureResults() {}

    /**
     * Delivers a result once the future is complete. A future that completes exceptionally is
     * delivered as an {@code internal} failure.
     *
     * @param future the future
     * @param executor executor on which the consumer runs
     * @param consumer receives the result
     * @param <T> type of the value
     * @return a future that completes when the result has been submitted to the executor
     */
    @CanIgnoreReturnValue
    public static <T> CompletableFuture<Result<T>> deliver(
            CompletableFuture<Result<T>> future, Executor executor, Consumer<Result<T>> consumer) {
        return future.whenComplete(
                (result, e) -> executor.execute(() -> consumer.accept(resultOf(result, e))));
    }

    private static <T> Result<T> resultOf(Result<T> result, Throwable e) {
        return e == null ? result : Result.fail(ErrorKind.INTERNAL, String.valueOf(e));
    }
}
