package dev.cactusspan.result;

import java.util.Objects;
import java.util.function.Function;

/**
 * A value or an expected failure.
 *
 * @param <T> type of the value
 */
public sealed interface Result<T> {

    /**
     * Creates a successful result.
     *
     * @param value the value
     * @param <T> type of the value
     * @return the result
     */
    static <T> Result<T> of(T value) {
        return new Ok<>(value);
    }

    /**
     * Creates a failed result.
     *
     * @param kind the error kind
     * @param detail one-line description for humans
     * @param <T> type of the value
     * @return the result
     */
    static <T> Result<T> fail(ErrorKind kind, String detail) {
        return new Err<>(Failure.of(kind, detail));
    }

    /**
     * Creates a failed result.
     *
     * @param failure the failure
     * @param <T> type of the value
     * @return the result
     */
    static <T> Result<T> fail(Failure failure) {
        return new Err<>(failure);
    }

    /**
     * Folds both cases into one value.
     *
     * @param onFailure function applied to a failure
     * @param onValue function applied to the value
     * @param <U> type of the outcome
     * @return the outcome
     */
    <U> U fold(
            Function<? super Failure, ? extends U> onFailure,
            Function<? super T, ? extends U> onValue);

    /**
     * Maps the value if present.
     *
     * @param mapper function from the value to the new value
     * @param <U> type of the new value
     * @return the new result
     */
    default <U> Result<U> map(Function<? super T, ? extends U> mapper) {
        return fold(Result::fail, value -> Result.of(mapper.apply(value)));
    }

    /**
     * Maps the value if present to another result.
     *
     * @param mapper function from the value to the new result
     * @param <U> type of the new value
     * @return the new result
     */
    default <U> Result<U> flatMap(Function<? super T, Result<U>> mapper) {
        return fold(Result::fail, mapper);
    }

    /**
     * Returns the value, or a default for a failure.
     *
     * @param other the default value
     * @return the value
     */
    default T getOrElse(T other) {
        return fold(failure -> other, value -> value);
    }

    /**
     * Returns the value.
     *
     * @return the value
     * @throws IllegalStateException if this is a failure
     */
    default T get() {
        return fold(
                failure -> {
                    throw new IllegalStateException(failure.toString());
                },
                value -> value);
    }

    /**
     * Returns whether this is a value.
     *
     * @return true if there is a value
     */
    default boolean isOk() {
        return fold(failure -> false, value -> true);
    }

    /**
     * A value.
     *
     * @param value the value
     * @param <T> type of the value
     */
    record Ok<T>(T value) implements Result<T> {
        /**
         * Checks that the value is not null.
         *
         * @param value the value
         */
        public Ok {
            Objects.requireNonNull(value, "value is null");
        }

        @Override
        public <U> U fold(
                Function<? super Failure, ? extends U> onFailure,
                Function<? super T, ? extends U> onValue) {
            return onValue.apply(value);
        }
    }

    /**
     * A failure.
     *
     * @param failure the failure
     * @param <T> type of the value
     */
    record Err<T>(Failure failure) implements Result<T> {
        /**
         * Checks that the failure is not null.
         *
         * @param failure the failure
         */
        public Err {
            Objects.requireNonNull(failure, "failure is null");
        }

        @Override
        public <U> U fold(
                Function<? super Failure, ? extends U> onFailure,
                Function<? super T, ? extends U> onValue) {
            return onFailure.apply(failure);
        }
    }
}
