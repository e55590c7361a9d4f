package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/**
 * Identifier of an item of a batch.
 *
 * @param value the text of the identifier
 */
public record ItemId(@JsonValue String value) implements Comparable<ItemId> {

    /** Checks that the text is not null. */
    public ItemId {
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     */
    @JsonCreator
    public static ItemId of(String value) {
        return new ItemId(value);
    }

    @Override
    public int compareTo(ItemId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
