package dev.cactusspan.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The version of a model's weights; a higher number is newer.
 *
 * @param number the number, zero for none
 */
public record WeightVersion(@JsonValue long number) implements Comparable<WeightVersion> {

    /** No version is known. */
    public static final WeightVersion NONE = new WeightVersion(0);

    /** Checks that the number is not negative. */
    public WeightVersion {
        if (number < 0) {
            throw new IllegalArgumentException("number is negative");
        }
    }

    /**
     * Returns the weight version with the given number.
     *
     * @param number the number, zero for none
     * @return the weight version
     */
    @JsonCreator
    public static WeightVersion of(long number) {
        return new WeightVersion(number);
    }

    /**
     * Returns whether this weight version is higher than another.
     *
     * @param other the weight version to compare with
     * @return true if this is strictly higher
     */
    public boolean isAfter(WeightVersion other) {
        return number > other.number;
    }

    /**
     * Returns the next weight version.
     *
     * @return the weight version that follows this one
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
