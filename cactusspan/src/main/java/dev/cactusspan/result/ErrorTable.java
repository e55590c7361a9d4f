package dev.cactusspan.result;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.type.TypeReference;
import dev.cactusspan.text.JsonText;
import java.util.EnumMap;
import java.util.Map;

/** The table from error kind to answer, read from the resource {@code errors.json}. */
public final class ErrorTable {
    private static final String RESOURCE = "/dev/cactusspan/result/errors.json";
    private static final ErrorTable STANDARD = load();

    private final Map<ErrorKind, Row> mRows;

    private ErrorTable(Map<ErrorKind, Row> rows) {
        mRows = rows;
    }

    /**
     * Returns the table of the product.
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
     * Returns the answer for a kind.
     *
     * @param kind the error kind
     * @return its row
     */
    public Row row(ErrorKind kind) {
        return mRows.get(kind);
    }

    /** When a caller may repeat a failed request. */
    public enum Retry {
        /** Repeating cannot help. */
        @JsonProperty("never")
        NEVER,
        /** Any request may be repeated. */
        @JsonProperty("always")
        ALWAYS,
        /** An idempotent request may be repeated. */
        @JsonProperty("idempotent")
        IDEMPOTENT,
        /** The request may be repeated with the same idempotency key; it never runs again. */
        @JsonProperty("same_key")
        SAME_KEY
    }

    /**
     * The answer for one error kind.
     *
     * @param status HTTP status code
     * @param ran whether the request has run
     * @param retry when a caller may repeat the request
     */
    public record Row(int status, ExecutionStatus ran, Retry retry) {}
}
