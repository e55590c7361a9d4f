package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Objects;

/**
 * Identifier of a duty, a task that only one entry performs at a time.
 *
 * @param value the text of the identifier
 */
public record DutyId(@JsonValue String value) implements Comparable<DutyId> {

    /** The duty of sealing and reporting usage windows. */
    public static final DutyId USAGE = new DutyId("usage");

    /** Checks that the text is not null. */
    public DutyId {
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value the text of the identifier
     * @return the identifier
     */
    @JsonCreator
    public static DutyId of(String value) {
        return new DutyId(value);
    }

    /**
     * Returns the duty of starting and stopping the targets of a service in an availability zone.
     *
     * @param service the service
     * @param zone the availability zone
     * @return the duty
     */
    public static DutyId targets(ServiceId service, AvailabilityZoneId zone) {
        return new DutyId("targets/" + service + "/" + zone);
    }

    @Override
    public int compareTo(DutyId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
