package dev.cactusspan.result;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Hands results of futures to the thread that waits for them. */
public final class FutureResults {
    private FutureResults() {}

    /**
     * Hands a result on, once it is there. A future that ends with an exception gives {@code
     * internal}.
     *
     * @param future the future
     * @param thread the thread on which the result is taken
     * @param taker takes the result
     * @param <T> type of the value
     * @return the future of the hand-over
     */
    @CanIgnoreReturnValue
    public static <T> CompletableFuture<Result<T>> deliver(
            CompletableFuture<Result<T>> future, Executor thread, Consumer<Result<T>> taker) {
        return future.whenComplete(
                (result, e) -> thread.execute(() -> taker.accept(resultOf(result, e))));
    }

    private static <T> Result<T> resultOf(Result<T> result, Throwable e) {
        return e == null ? result : Result.fail(ErrorKind.INTERNAL, String.valueOf(e));
    }
}
