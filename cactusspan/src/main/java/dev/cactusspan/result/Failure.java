package dev.cactusspan.result;

import java.util.Objects;

/**
 * An expected failure.
 *
 * @param kind the error kind
 * @param detail one-line description for humans, without secrets
 */
public record Failure(ErrorKind kind, String detail) {

    /** Checks that no component is null. */
    public Failure {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(detail, "detail is null");
    }

    /**
     * Creates a failure.
     *
     * @param kind the error kind
     * @param detail one-line description for humans, without secrets
     * @return the failure
     */
    public static Failure of(ErrorKind kind, String detail) {
        return new Failure(kind, detail);
    }

    /**
     * Returns the row of the standard error table for this failure.
     *
     * @return the row
     */
    public ErrorTable.Row tableRow() {
        return ErrorTable.standard().row(kind);
    }

    /**
     * Returns whether it is proved that the request has not run.
     *
     * @return true if the request has not run
     */
    public boolean isNotRun() {
        return tableRow().ran() == ExecutionStatus.NO;
    }

    @Override
    public String toString() {
        return kind.wireName() + ": " + detail;
    }
}
