package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/**
 * Identifier of an availability zone.
 *
 * @param value the text of the identifier
 */
public record AvailabilityZoneId(@JsonValue String value)
        implements Comparable<AvailabilityZoneId> {

    /** Checks that the text is not null. */
    public AvailabilityZoneId {
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     */
    @JsonCreator
    public static AvailabilityZoneId of(String value) {
        return new AvailabilityZoneId(value);
    }

    @Override
    public int compareTo(AvailabilityZoneId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
