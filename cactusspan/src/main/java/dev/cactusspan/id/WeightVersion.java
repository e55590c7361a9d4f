package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The version of a model's weights; higher is newer.
 *
 * @param number the number, zero for none
 */
public record WeightVersion(@JsonValue long number) implements Comparable<WeightVersion> {

    /** None yet. */
    public static final WeightVersion NONE = new WeightVersion(0);

    /** Checks the number. */
    public WeightVersion {
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
    public static WeightVersion of(long number) {
        return new WeightVersion(number);
    }

    /**
     * Tells whether this one is higher than another.
     *
     * @param other the other one
     * @return true if this is strictly higher
     */
    public boolean isAfter(WeightVersion other) {
        return number > other.number;
    }

    /**
     * Returns the one that follows this one.
     *
     * @return the successor
     */
    public WeightVersion next() {
        return new WeightVersion(number + 1);
    }

    @Override
    public int compareTo(WeightVersion other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
