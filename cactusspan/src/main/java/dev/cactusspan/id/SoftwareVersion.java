package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/**
 * Version of the software that a target runs. Versions are compared for equality only.
 *
 * @param value the text of the version
 */
public record SoftwareVersion(@JsonValue String value) {
    /** No version. */
    public static final SoftwareVersion NONE = of("");

    /** Checks that the text is not null. */
    public SoftwareVersion {
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns the version with the given text.
     *
     * @param value the text of the version
     * @return the version
     */
    @JsonCreator
    public static SoftwareVersion of(String value) {
        return new SoftwareVersion(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
