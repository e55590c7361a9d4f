package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/**
 * Identifier of an environment.
 *
 * @param value the text of the identifier
 */
public record EnvironmentId(@JsonValue String value) implements Comparable<EnvironmentId> {

    /** Checks that the text is not null. */
    public EnvironmentId {
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     */
    @JsonCreator
    public static EnvironmentId of(String value) {
        return new EnvironmentId(value);
    }

    @Override
    public int compareTo(EnvironmentId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
