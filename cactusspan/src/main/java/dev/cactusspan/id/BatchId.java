package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/**
 * Identifier of a batch of items that a trainer submits.
 *
 * @param value the text of the identifier
 */
public record BatchId(@JsonValue String value) implements Comparable<BatchId> {

    /** Checks that the text is not null. */
    public BatchId {
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     */
    @JsonCreator
    public static BatchId of(String value) {
        return new BatchId(value);
    }

    @Override
    public int compareTo(BatchId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
