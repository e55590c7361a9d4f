package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/**
 * Identifier of a service, a named pool of targets such as a model or a plain service.
 *
 * @param value the text of the identifier
 */
public record ServiceId(@JsonValue String value) implements Comparable<ServiceId> {

    /** Checks that the text is not null. */
    public ServiceId {
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     */
    @JsonCreator
    public static ServiceId of(String value) {
        return new ServiceId(value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
