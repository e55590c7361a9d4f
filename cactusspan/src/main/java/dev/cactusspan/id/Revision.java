package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The revision of an environment document; higher is newer.
 *
 * @param number the number, zero for none
 */
public record Revision(@JsonValue long number) implements Comparable<Revision> {

    /** None yet. */
    public static final Revision NONE = new Revision(0);

    /** Checks the number. */
    public Revision {
        if (number < 0) {
            throw new IllegalArgumentException("number is negative");
        }
    }

    /**
     * Returns the value with the given number.
     *
     * @param number the number, zero for none
     * @return the value
     */
    @JsonCreator
    public static Revision of(long number) {
        return new Revision(number);
    }

    /**
     * Tells whether this one is higher than another.
     *
     * @param other the other one
     * @return true if this is strictly higher
     */
    public boolean isAfter(Revision other) {
        return number > other.number;
    }

    /**
     * Returns the one that follows this one.
     *
     * @return the successor
     */
    public Revision next() {
        return new Revision(number + 1);
    }

    @Override
    public int compareTo(Revision other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
