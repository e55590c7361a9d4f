package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/**
 * Identifier of a trainer.
 *
 * @param value the text of the identifier
 */
public record TrainerId(@JsonValue String value) implements Comparable<TrainerId> {

    /** Checks that the text is not null. */
    public TrainerId {
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     */
    @JsonCreator
    public static TrainerId of(String value) {
        return new TrainerId(value);
    }

    @Override
    public int compareTo(TrainerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
