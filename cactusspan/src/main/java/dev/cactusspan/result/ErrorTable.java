package dev.cactusspan.result;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.type.TypeReference;
import dev.cactusspan.text.JsonText;
import java.util.EnumMap;
import java.util.Map;

/** Maps error kinds to HTTP status and retry rule, as read from {@code errors.json}. */
public final class ErrorTable {
    private static final String RESOURCE = "/dev/cactusspan/result/errors.json";
    private static final ErrorTable STANDARD = load();

    private final Map<ErrorKind, Row> mRows;

    private ErrorTable(Map<ErrorKind, Row> rows) {
        mRows = rows;
    }

    /**
     * Returns the table from the packaged resource.
     *
     * @return the table
     */
    public static ErrorTable standard() {
        return STANDARD;
    }

    private static ErrorTable load() {
        Map<String, Row> read = JsonText.readResource(RESOURCE, new TypeReference<>() {});
        Map<ErrorKind, Row> rows = new EnumMap<>(ErrorKind.class);
        for (ErrorKind kind : ErrorKind.values()) {
            Row row = read.remove(kind.wireName());
            if (row == null) {
                throw new IllegalStateException(RESOURCE + ": no row for " + kind.wireName());
            }
            rows.put(kind, row);
        }
        if (!read.isEmpty()) {
            throw new IllegalStateException(RESOURCE + ": unknown kinds " + read.keySet());
        }
        return new ErrorTable(rows);
    }

    /**
     * Returns the row of a kind.
     *
     * @param kind the error kind
     * @return the row
     */
    public Row row(ErrorKind kind) {
        return mRows.get(kind);
    }

    /** When a caller may retry a failed request. */
    public enum Retry {
        /** A retry cannot succeed. */
        @JsonProperty("never")
        NEVER,
        /** Any request may be retried. */
        @JsonProperty("always")
        ALWAYS,
        /** An idempotent request may be retried. */
        @JsonProperty("idempotent")
        IDEMPOTENT,
        /** The request may be retried with the same idempotency key; it never runs again. */
        @JsonProperty("same_key")
        SAME_KEY
    }

    /**
     * Row of one error kind.
     *
     * @param status HTTP status code
     * @param ran execution status of the request
     * @param retry when a caller may retry the request
     */
    public record Row(int status, ExecutionStatus ran, Retry retry) {}
}
