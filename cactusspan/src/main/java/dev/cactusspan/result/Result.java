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
     * Returns a result that holds a value.
     *
     * @param value the value
     * @param <T> type of the value
     * @return the result
     */
    static <T> Result<T> of(T value) {
        return new Ok<>(value);
    }

    /**
     * Returns a result that holds a failure.
     *
     * @param kind the error kind
     * @param detail one line for a person
     * @param <T> type of the value
     * @return the result
     */
    static <T> Result<T> fail(ErrorKind kind, String detail) {
        return new Err<>(Failure.of(kind, detail));
    }

    /**
     * Returns a result that holds a failure.
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
     * @param onFailure what to do with a failure
     * @param onValue what to do with the value
     * @param <U> type of the outcome
     * @return the outcome
     */
    <U> U fold(
            Function<? super Failure, ? extends U> onFailure,
            Function<? super T, ? extends U> onValue);

    /**
     * Maps the value, if there is one.
     *
     * @param mapper from the value to the new value
     * @param <U> type of the new value
     * @return the new result
     */
    default <U> Result<U> map(Function<? super T, ? extends U> mapper) {
        return fold(Result::fail, value -> Result.of(mapper.apply(value)));
    }

    /**
     * Maps the value, if there is one, to another result.
     *
     * @param mapper from the value to the new result
     * @param <U> type of the new value
     * @return the new result
     */
    default <U> Result<U> flatMap(Function<? super T, Result<U>> mapper) {
        return fold(Result::fail, mapper);
    }

    /**
     * Returns the value or the given one.
     *
     * @param other the value for a failure
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
     * Tells whether this holds a value.
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
         * Checks the value.
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
         * Checks the failure.
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
